#include "config/cfg_schema.h"

#define POINTER CYAML_FLAG_POINTER
#define MAYBE (CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL)
#define OPTIONAL CYAML_FLAG_OPTIONAL
#define NAME_MAX_LENGTH 63
#define TEXT_MAX_LENGTH 16384

static const cyaml_strval_t kinds[] = {
	{ "encode", CFG_KIND_ENCODE }, { "retrieve", CFG_KIND_RETRIEVE },
	{ "rerank", CFG_KIND_RERANK }, { "generate", CFG_KIND_GENERATE },
	{ "plain", CFG_KIND_PLAIN },
};

static const cyaml_strval_t fencings[] = {
	{ "checked", CFG_FENCING_CHECKED },
	{ "ignored", CFG_FENCING_IGNORED },
};

static const cyaml_schema_value_t name_schema = {
	CYAML_VALUE_STRING(POINTER, char, 1, NAME_MAX_LENGTH),
};

static const cyaml_schema_field_t organisation_fields[] = {
	CYAML_FIELD_STRING_PTR("name", POINTER, struct cfg_organisation, name,
			       1, NAME_MAX_LENGTH),
	CYAML_FIELD_STRING_PTR("token_sha256", POINTER, struct cfg_organisation,
			       token_sha256, 64, 64),
	CYAML_FIELD_UINT("weight", OPTIONAL, struct cfg_organisation, weight),
	CYAML_FIELD_UINT("rate_per_s", OPTIONAL, struct cfg_organisation,
			 rate_per_s),
	CYAML_FIELD_SEQUENCE("pipelines", POINTER, struct cfg_organisation,
			     pipelines, &name_schema, 0, CYAML_UNLIMITED),
	CYAML_FIELD_END
};

static const cyaml_schema_field_t service_fields[] = {
	CYAML_FIELD_STRING_PTR("name", POINTER, struct cfg_service, name, 1,
			       NAME_MAX_LENGTH),
	CYAML_FIELD_ENUM("kind", CYAML_FLAG_STRICT, struct cfg_service, kind,
			 kinds, CYAML_ARRAY_LEN(kinds)),
	CYAML_FIELD_UINT("concurrency", CYAML_FLAG_DEFAULT, struct cfg_service,
			 concurrency),
	CYAML_FIELD_UINT("usual_ms", OPTIONAL, struct cfg_service, usual_ms),
	CYAML_FIELD_ENUM("fencing", OPTIONAL | CYAML_FLAG_STRICT,
			 struct cfg_service, fencing, fencings,
			 CYAML_ARRAY_LEN(fencings)),
	CYAML_FIELD_STRING_PTR("model", MAYBE, struct cfg_service, model, 1,
			       255),
	CYAML_FIELD_UINT("order_timeout_ms", OPTIONAL, struct cfg_service,
			 order_timeout_ms),
	CYAML_FIELD_END
};

static const cyaml_schema_field_t input_fields[] = {
	CYAML_FIELD_STRING_PTR("field", POINTER, struct cfg_input, field, 1,
			       255),
	CYAML_FIELD_STRING_PTR("from", MAYBE, struct cfg_input, from, 1, 255),
	CYAML_FIELD_STRING_PTR("value", MAYBE, struct cfg_input, value, 1,
			       TEXT_MAX_LENGTH),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t input_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_input, input_fields),
};

static const cyaml_schema_field_t stage_fields[] = {
	CYAML_FIELD_STRING_PTR("name", POINTER, struct cfg_stage, name, 1,
			       NAME_MAX_LENGTH),
	CYAML_FIELD_STRING_PTR("service", POINTER, struct cfg_stage, service, 1,
			       NAME_MAX_LENGTH),
	CYAML_FIELD_BOOL("repeatable", CYAML_FLAG_DEFAULT, struct cfg_stage,
			 repeatable),
	CYAML_FIELD_STRING_PTR("path", MAYBE, struct cfg_stage, path, 1, 255),
	CYAML_FIELD_SEQUENCE("input", POINTER, struct cfg_stage, input,
			     &input_schema, 0, CYAML_UNLIMITED),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t stage_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_stage, stage_fields),
};

static const cyaml_schema_field_t pipeline_fields[] = {
	CYAML_FIELD_STRING_PTR("name", POINTER, struct cfg_pipeline, name, 1,
			       NAME_MAX_LENGTH),
	CYAML_FIELD_UINT("deadline_ms", CYAML_FLAG_DEFAULT, struct cfg_pipeline,
			 deadline_ms),
	CYAML_FIELD_STRING_PTR("affinity", MAYBE, struct cfg_pipeline, affinity,
			       1, 255),
	CYAML_FIELD_STRING_PTR("answer", MAYBE, struct cfg_pipeline, answer, 1,
			       NAME_MAX_LENGTH),
	CYAML_FIELD_SEQUENCE("stages", POINTER, struct cfg_pipeline, stages,
			     &stage_schema, 1, CFG_STAGES_MAX),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t organisation_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_organisation,
			    organisation_fields),
};

static const cyaml_schema_value_t service_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_service,
			    service_fields),
};

static const cyaml_schema_value_t pipeline_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_pipeline,
			    pipeline_fields),
};

static const cyaml_schema_field_t doc_fields[] = {
	CYAML_FIELD_SEQUENCE("organisations", MAYBE, struct cfg_doc,
			     organisations, &organisation_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("services", MAYBE, struct cfg_doc, services,
			     &service_schema, 0, CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("pipelines", MAYBE, struct cfg_doc, pipelines,
			     &pipeline_schema, 0, CYAML_UNLIMITED),
	CYAML_FIELD_END
};

const cyaml_schema_value_t cfg_doc_schema = {
	CYAML_VALUE_MAPPING(POINTER, struct cfg_doc, doc_fields),
};
