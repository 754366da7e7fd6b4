package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

var (
	logLevels       = []string{"debug", "info", "warn", "error"}
	routingPolicies = []string{"Cost", "Random", "RoundRobin", "LeastOutstanding"}
	keyHashPattern  = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// maxStopNotice bounds the time in which a stopping instance still accepts requests.
const maxStopNotice = time.Minute

// checker collects findings about the settings. Its methods add a finding for an invalid value, and most return
// the value in its checked form.
type checker struct {
	positions *yamlfile.Positions
	findings  *finding.List
}

// check validates and converts the values of a settings file. Findings that decoding has added stay in findings.
func check(f file, positions *yamlfile.Positions, findings *finding.List) (Settings, error) {
	c := &checker{positions: positions, findings: findings}
	s := Settings{
		Instance:   c.name("$.Instance", f.Instance),
		DataCentre: c.name("$.DataCentre", f.DataCentre),
		Fleet:      c.name("$.Fleet", f.Fleet),
		Listen: Listen{
			Callers:   c.address("$.Listen.Callers", f.Listen.Callers),
			Operators: c.address("$.Listen.Operators", f.Listen.Operators),
			Peers:     c.address("$.Listen.Peers", f.Listen.Peers),
		},
		Certificate: c.certificate(f.Certificate),
		Platform: Platform{
			Table:        c.url("$.Platform.Table", f.Platform.Table),
			ObjectStore:  c.url("$.Platform.ObjectStore", f.Platform.ObjectStore),
			InstanceList: c.url("$.Platform.InstanceList", f.Platform.InstanceList),
			WeightStore:  c.url("$.Platform.WeightStore", f.Platform.WeightStore),
		},
		StopNotice: c.stopNotice("$.StopNotice", f.StopNotice, DefaultStopNotice),
		LogLevel:   c.oneOf("$.LogLevel", f.LogLevel, "info", logLevels),
		Routing:    c.oneOf("$.Routing", f.Routing, routingPolicies[0], routingPolicies),
	}
	for i, seed := range f.Seeds {
		s.Seeds = append(s.Seeds, c.address(fmt.Sprintf("$.Seeds[%d]", i), seed))
	}
	for i, key := range f.Operators {
		s.Operators = append(s.Operators, c.key(fmt.Sprintf("$.Operators[%d]", i), key))
	}
	return s, findings.Err()
}

func (c *checker) add(path, value, rule, accepted string) {
	c.findings.Add(c.positions.Locate(finding.Finding{Path: path, Value: value, Rule: rule, Accepted: accepted}))
}

func (c *checker) name(path, value string) string {
	if !namePattern.MatchString(value) {
		c.add(path, value, "A name is required", "1 to 63 letters, digits, dots, dashes or underscores, the first a letter or digit")
	}
	return value
}

func (c *checker) address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(path, value, "An IP address with a port is required", "such as 10.0.0.1:8080 or [::1]:8080")
	}
	return address
}

func (c *checker) url(path, value string) string {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(path, value, "A base URL is required", "such as http://10.0.0.5:7400")
	}
	return strings.TrimSuffix(value, "/")
}

func (c *checker) stopNotice(path, value string, defaultValue time.Duration) time.Duration {
	if value == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || d > maxStopNotice {
		c.add(path, value, "A duration with its unit is expected", fmt.Sprintf("0s to %s", maxStopNotice))
	}
	return d
}

func (c *checker) oneOf(path, value, defaultValue string, accepted []string) string {
	if value == "" {
		return defaultValue
	}
	if !slices.Contains(accepted, value) {
		c.add(path, value, "The value is not known", strings.Join(accepted, ", "))
	}
	return value
}

func (c *checker) key(path string, key fileKey) configuration.Key {
	c.name(path+".Name", key.Name)
	if !keyHashPattern.MatchString(key.Hash) {
		c.add(path+".Hash", key.Hash, "A key hash is required", "sha256: and 64 hexadecimal digits")
	}
	return configuration.Key{Name: key.Name, Hash: key.Hash}
}

func (c *checker) certificate(f fileCertificate) Certificate {
	if f.File == "" && f.KeyFile == "" {
		return Certificate{}
	}
	c.readable("$.Certificate.File", f.File)
	c.readable("$.Certificate.KeyFile", f.KeyFile)
	return Certificate(f)
}

func (c *checker) readable(path, name string) {
	file, err := os.Open(name)
	if err != nil {
		c.add(path, name, "The file cannot be read", "a PEM file that this process may read")
		return
	}
	_ = file.Close()
}
