package config

// Log is what is logged, and how.
type Log struct {
	// format: format of log records.
	Format string `key:"format" default:"text" enum:"text|json"`

	// level: lowest level that is logged.
	Level string `key:"level" default:"info" enum:"debug|info|warn|error" reload:"live"`

	// repeat: largest number of records a second with the same message; the next one has the number of records
	// left out; 0 is no limit.
	RepeatRate float64 `key:"repeat" default:"5" min:"0" max:"100000" reload:"live"`

	// backlog: size of the records that are buffered while nobody reads the log; further ones are dropped and
	// counted.
	Backlog Size `key:"backlog" default:"256KiB" min:"4KiB" max:"64MiB"`

	// requests: whether requests are logged, one record for each final response.
	Requests bool `key:"requests" default:"false" reload:"live"`

	// request_sample: fraction of the requests that are logged.
	RequestSample float64 `key:"request_sample" default:"1" min:"0" max:"1" reload:"live"`

	// request_rate: largest number of such records a second; 0 is no limit.
	RequestRate float64 `key:"request_rate" default:"100" min:"0" max:"1000000" reload:"live"`
}
