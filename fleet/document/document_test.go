package document_test

import (
	"testing"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestDocument(t *testing.T) {
	suite.Run(t, "document")
}

var _ = ginkgo.DescribeTable("Decode rejects",
	func(text, want string) {
		_, err := document.Decode("rules.toml", []byte(text), &schema.Rules{})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(want))
	},
	ginkgo.Entry("text that is not TOML", "[[pools]\n",
		"rules.toml:2: expected end of table array name delimiter ']', but got '\\n' instead"),
	ginkgo.Entry("an unknown table", "[[pool]]\nname = \"cups\"\n",
		"rules.toml: pool: unknown key, expected one of maintenance, pools, services, teams"),
	ginkgo.Entry("an unknown key", "[[pools]]\nname = \"cups\"\nbudget = 2\n",
		"rules.toml:3: pools[0].budget: unknown key, expected one of maxDown, maxDownPerDataCentre, maxDownPerRack, maxDownShare, name, spare"),
	ginkgo.Entry("a key in snake case", "[[pools]]\nmax_down = 2\n",
		"rules.toml:2: pools[0].max_down: unknown key, expected one of maxDown, maxDownPerDataCentre, maxDownPerRack, maxDownShare, name, spare"),
	ginkgo.Entry("a string for an integer", "[[pools]]\nname = \"a\"\n\n[[pools]]\nmaxDown = \"2\"\n",
		`rules.toml:5: pools[1].maxDown: expected an integer, found the string "2"`),
	ginkgo.Entry("an integer for a string", "[[pools]]\nname = 2\n",
		"rules.toml:2: pools[0].name: expected a string, found the integer 2"),
	ginkgo.Entry("a number for a boolean", "[[pools]]\nspare = 1.5\n",
		"rules.toml:2: pools[0].spare: expected a boolean, found the number 1.5"),
	ginkgo.Entry("a table for an array", "[pools]\nname = \"a\"\n",
		"rules.toml:1: pools: expected an array, found a table"),
	ginkgo.Entry("an integer for a duration", "[[services]]\ntimeout = 2\n",
		`rules.toml:2: services[0].timeout: expected a duration such as "1.5s", found the integer 2`),
	ginkgo.Entry("a duration without a unit", "[[services]]\ntimeout = \"2\"\n",
		`rules.toml:2: services[0].timeout: expected a duration such as "1.5s", found "2"`),
	ginkgo.Entry("an integer that is too large", "[[pools]]\nmaxDown = 5000000000\n",
		`rules.toml:2: pools[0].maxDown: expected an integer of 32 bits, found "5000000000"`),
	ginkgo.Entry("a date", "[[pools]]\nname = 2026-12-04\n",
		"rules.toml:2: pools[0].name: expected a string, found a date or time"),
)
