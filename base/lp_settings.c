#include "base/lp_settings.h"

#include "base/lp_error.h"

#include <errno.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>

static char *env_name(const char *name)
{
	char *upper = g_ascii_strup(name, -1);
	char *full;

	g_strdelimit(upper, "-", '_');
	full = g_strconcat("LINEPIER_", upper, NULL);
	g_free(upper);
	return full;
}

static void fail(struct lp_settings_rest *rest, const struct lp_setting *set,
		 const char *value, const char *expected)
{
	g_ptr_array_add(rest->errors,
			g_strdup_printf("--%s: got '%s', expected %s",
					set->name, value, expected));
}

static void parse_int(const struct lp_setting *set, const char *value,
		      int64_t *field, struct lp_settings_rest *rest)
{
	g_autofree char *expected = g_strdup_printf(
		"a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		set->min, set->max);
	char *end;

	errno = 0;
	*field = strtoll(value, &end, 10);
	if (errno || end == value || *end || *field < set->min ||
	    *field > set->max)
		fail(rest, set, value, expected);
}

static void parse_choice(const struct lp_setting *set, const char *choices,
			 const char *value, int64_t *field,
			 struct lp_settings_rest *rest)
{
	g_auto(GStrv) names = g_strsplit(choices, "|", -1);
	g_autofree char *expected = g_strdup_printf("one of %s", choices);

	for (int i = 0; names[i]; i++) {
		if (!strcmp(names[i], value)) {
			*field = i;
			return;
		}
	}
	fail(rest, set, value, expected);
}

static void store(const struct lp_setting *set, const char *value, void *out,
		  struct lp_settings_rest *rest)
{
	void *field = (char *)out + set->offset;

	switch (set->type) {
	case LP_SETTING_STRING:
		*(char **)field = g_strdup(value);
		break;
	case LP_SETTING_INT:
		parse_int(set, value, field, rest);
		break;
	case LP_SETTING_BOOL:
		parse_choice(set, "no|yes", value, field, rest);
		break;
	case LP_SETTING_CHOICE:
		parse_choice(set, set->choices, value, field, rest);
		break;
	}
}

static void resolve(const struct lp_setting *set, const char *flag, void *out,
		    struct lp_settings_rest *rest)
{
	g_autofree char *variable = env_name(set->name);
	const char *value = flag;

	if (!value)
		value = g_getenv(variable);
	if (!value)
		value = set->fallback;
	if (value)
		store(set, value, out, rest);
	else
		g_ptr_array_add(rest->errors,
				g_strdup_printf("--%s: missing; set the flag "
						"or %s",
						set->name, variable));
}

static char *describe(const struct lp_setting *set)
{
	if (set->choices)
		return g_strdup_printf("%s (%s)", set->help, set->choices);
	return g_strdup(set->help);
}

static void read_flags(poptContext context, struct lp_settings_rest *rest)
{
	const char **left;
	int code;

	while ((code = poptGetNextOpt(context)) != -1) {
		if (code > 0)
			continue;
		g_ptr_array_add(rest->errors,
				g_strdup_printf("%s: %s",
						poptBadOption(context, 0),
						poptStrerror(code)));
	}
	left = poptGetArgs(context);
	rest->args = g_strdupv((char **)left);
	if (!rest->args)
		rest->args = g_new0(char *, 1);
}

int lp_settings_load(const struct lp_setting *table, size_t count, void *out,
		     int argc, const char **argv, const char *usage,
		     struct lp_settings_rest *rest)
{
	struct poptOption *options = g_new0(struct poptOption, count + 2);
	char **values = g_new0(char *, count);
	g_autoptr(GPtrArray) helps = g_ptr_array_new_with_free_func(g_free);
	poptContext context;

	rest->errors = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < count; i++) {
		char *help = describe(&table[i]);

		g_ptr_array_add(helps, help);
		options[i].longName = table[i].name;
		options[i].argInfo = POPT_ARG_STRING;
		options[i].arg = &values[i];
		options[i].descrip = help;
		options[i].argDescrip =
			table[i].fallback ? table[i].fallback : "REQUIRED";
	}
	options[count] = (struct poptOption){
		NULL,	 0,   POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
		"Help:", NULL
	};
	context = poptGetContext(NULL, argc, argv, options, 0);
	poptSetOtherOptionHelp(context, usage);
	read_flags(context, rest);
	for (size_t i = 0; i < count; i++) {
		resolve(&table[i], values[i], out, rest);
		free(values[i]);
	}
	poptFreeContext(context);
	g_free(options);
	g_free(values);
	return rest->errors->len ? LP_ERROR_BAD_CONFIG : LP_OK;
}

void lp_settings_clear(const struct lp_setting *table, size_t count, void *out,
		       struct lp_settings_rest *rest)
{
	for (size_t i = 0; i < count; i++)
		if (table[i].type == LP_SETTING_STRING)
			g_clear_pointer(
				(char **)((char *)out + table[i].offset),
				g_free);
	g_strfreev(rest->args);
	g_ptr_array_unref(rest->errors);
}

void lp_settings_print_errors(const struct lp_settings_rest *rest)
{
	for (guint i = 0; i < rest->errors->len; i++)
		g_printerr("%s\n", (char *)g_ptr_array_index(rest->errors, i));
}
