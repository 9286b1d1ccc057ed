package config

// Log is what is logged, and how.
type Log struct {
	_      about  `doc:"form of a record"`
	Format string `key:"format" default:"text" enum:"text|json"`

	_     about  `doc:"lowest level that is logged"`
	Level string `key:"level" default:"info" enum:"debug|info|warn|error" reload:"live"`

	_          about   `doc:"records a second with the same message; the next one has the number of those"`
	_          about   `doc:"left out; 0 is no limit"`
	RepeatRate float64 `key:"repeat" default:"5" min:"0" max:"100000" reload:"live"`

	_       about `doc:"bytes kept while nobody reads the log; records beyond are lost and counted"`
	Backlog Size  `key:"backlog" default:"256KiB" min:"4KiB" max:"64MiB"`

	_        about `doc:"whether requests are logged, one record for each final response"`
	Requests bool  `key:"requests" default:"false" reload:"live"`

	_             about   `doc:"fraction of the requests that are logged"`
	RequestSample float64 `key:"request_sample" default:"1" min:"0" max:"1" reload:"live"`

	_           about   `doc:"largest number of such records a second; 0 is no limit"`
	RequestRate float64 `key:"request_rate" default:"100" min:"0" max:"1000000" reload:"live"`
}
