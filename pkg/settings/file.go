package settings

// file mirrors the settings file. Values stay strings until they are checked, so that each problem is
// reported with its position.
type file struct {
	Instance    string          `yaml:"Instance"`
	DataCentre  string          `yaml:"DataCentre"`
	Fleet       string          `yaml:"Fleet"`
	Listen      fileListen      `yaml:"Listen"`
	Certificate fileCertificate `yaml:"Certificate"`
	Platform    filePlatform    `yaml:"Platform"`
	Seeds       []string        `yaml:"Seeds"`
	Operators   []fileKey       `yaml:"Operators"`
	StopNotice  string          `yaml:"StopNotice"`
	LogLevel    string          `yaml:"LogLevel"`
	Routing     string          `yaml:"Routing"`
}

type fileListen struct {
	Callers   string `yaml:"Callers"`
	Operators string `yaml:"Operators"`
	Peers     string `yaml:"Peers"`
}

type fileCertificate struct {
	File    string `yaml:"File"`
	KeyFile string `yaml:"KeyFile"`
}

type filePlatform struct {
	Table        string `yaml:"Table"`
	ObjectStore  string `yaml:"ObjectStore"`
	InstanceList string `yaml:"InstanceList"`
	WeightStore  string `yaml:"WeightStore"`
}

type fileKey struct {
	Name string `yaml:"Name"`
	Hash string `yaml:"Hash"`
}
