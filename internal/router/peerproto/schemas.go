package peerproto

import (
	_ "embed"

	"github.com/hamba/avro/v2"
)

//go:embed schemas.avsc
var schemasSource string

// schemas holds the record schemas of schemas.avsc by name.
var schemas = parseSchemas()

// parseSchemas parses the embedded schemas. It panics if they are invalid, which the tests would reveal.
func parseSchemas() map[string]avro.Schema {
	byName := map[string]avro.Schema{}
	for _, schema := range avro.MustParse(schemasSource).(*avro.UnionSchema).Types() {
		byName[schema.(avro.NamedSchema).Name()] = schema
	}
	return byName
}

var (
	helloSchema      = schemas["Hello"]
	recordsSchema    = schemas["Records"]
	statusSchema     = schemas["Status"]
	demandsSchema    = schemas["Demands"]
	loadReportSchema = schemas["Work"]
	followSchema     = schemas["Follow"]
	feedSchema       = schemas["Feed"]
	comparisonSchema = schemas["Comparison"]
	proposalSchema   = schemas["Proposal"]
	resultSchema     = schemas["Result"]
	patchesSchema    = schemas["Patches"]
	chainSchema      = schemas["ChainMessage"]
)

func (*Hello) schema() avro.Schema        { return helloSchema }
func (*Records) schema() avro.Schema      { return recordsSchema }
func (*Status) schema() avro.Schema       { return statusSchema }
func (*Demands) schema() avro.Schema      { return demandsSchema }
func (*LoadReport) schema() avro.Schema   { return loadReportSchema }
func (*Follow) schema() avro.Schema       { return followSchema }
func (*Feed) schema() avro.Schema         { return feedSchema }
func (*Comparison) schema() avro.Schema   { return comparisonSchema }
func (*Proposal) schema() avro.Schema     { return proposalSchema }
func (*Result) schema() avro.Schema       { return resultSchema }
func (*Patches) schema() avro.Schema      { return patchesSchema }
func (*ChainMessage) schema() avro.Schema { return chainSchema }
