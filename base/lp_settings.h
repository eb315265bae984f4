/**
 * Settings from flags and environment variables, checked together.
 *
 * A setting named `kv-url` is the flag `--kv-url` and the variable
 * `LINEPIER_KV_URL`; the flag goes before the variable.
 */
#ifndef LP_SETTINGS_H
#define LP_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum lp_setting_type {
	LP_SETTING_STRING, /**< char *, owned by the settings struct */
	LP_SETTING_INT,	   /**< int64_t within min and max */
	LP_SETTING_BOOL,   /**< int64_t 0 or 1; the flag takes yes or no */
	LP_SETTING_CHOICE, /**< int64_t index into `choices` ("a|b|c") */
};

struct lp_setting {
	const char *name;
	enum lp_setting_type type;
	size_t offset; /**< of the field in the program's settings struct */
	const char *fallback; /**< default as text; NULL: required */
	int64_t min;
	int64_t max;
	const char *choices;
	const char *help;
};

/** What lp_settings_load() found besides the settings. */
struct lp_settings_rest {
	char **args;	   /**< positional arguments, g_strfreev() */
	GPtrArray *errors; /**< char *, one clear line each */
};

/**
 * Fill `out` from argv and the environment. All errors are gathered in
 * rest->errors, each naming its flag. Prints help and exits 0 on --help.
 * `usage` is the text after the program's name.
 *
 * Returns LP_OK or LP_ERROR_BAD_CONFIG. Free with lp_settings_clear().
 */
int lp_settings_load(const struct lp_setting *table, size_t count, void *out,
		     int argc, const char **argv, const char *usage,
		     struct lp_settings_rest *rest);
void lp_settings_clear(const struct lp_setting *table, size_t count, void *out,
		       struct lp_settings_rest *rest);
/** Print the errors to standard error, one a line. */
void lp_settings_print_errors(const struct lp_settings_rest *rest);

#endif
