package ingress

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// The on-call page explains every reason code of a connection's end.
func TestReasonsAreOnTheOnCallPage(t *testing.T) {
	var source []byte
	for _, file := range []string{"reason.go", "../../transport/clientconn/conn.go"} {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		source = append(source, b...)
	}
	page, err := os.ReadFile("../../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	reasons := regexp.MustCompile(`Reason += "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	if len(reasons) < 12 {
		t.Fatalf("%d reasons found", len(reasons))
	}
	for _, r := range reasons {
		if !strings.Contains(string(page), "`"+r[1]+"`") {
			t.Errorf("docs/oncall.md does not explain the reason %s", r[1])
		}
	}
}
