/** Checks of a document as a whole. Private to config/. */
#ifndef CFG_CHECK_H
#define CFG_CHECK_H

#include "config/cfg.h"

/**
 * Check names, references, deadlines and permissions. `leaves` gives the
 * lines. Adds a line per error; returns LP_OK or LP_ERROR_BAD_CONFIG.
 */
int cfg_check(const struct cfg_doc *doc, GPtrArray *leaves, const char *file,
	      GPtrArray *errors);

#endif
