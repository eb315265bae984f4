/** The libcyaml schema of a configuration document. Private to config/. */
#ifndef CFG_SCHEMA_H
#define CFG_SCHEMA_H

#include "config/cfg.h"

#include <cyaml/cyaml.h>

extern const cyaml_schema_value_t cfg_doc_schema;

#endif
