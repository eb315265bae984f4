/** Checks of what the users' platform is given: settings, configurations. */
#include "cli/cli.h"
#include "platform/plf_records.h"
#include "platform/plf_settings.h"

#include <stdio.h>

/* Returns how many errors were printed. */
static guint check_settings(const char *path)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	struct plf_settings settings;

	plf_settings_read(&settings, path, errors);
	plf_settings_clear(&settings);
	for (guint i = 0; i < errors->len; i++)
		printf("%s\n", (const char *)g_ptr_array_index(errors, i));
	return errors->len;
}

static guint check_config(const char *path)
{
	g_autofree char *text = NULL;
	g_autofree char *problem = NULL;
	g_autoptr(GError) gerror = NULL;
	struct direct_config *config;

	if (!g_file_get_contents(path, &text, NULL, &gerror)) {
		printf("%s: %s\n", path, gerror->message);
		return 1;
	}
	config = plf_config_read(text, &problem);
	if (!config) {
		printf("%s: %s\n", path, problem);
		return 1;
	}
	printf("%s: version %" G_GINT64_FORMAT ", %u routes\n", path,
	       (gint64)config->version, config->routes->len);
	direct_config_unref(config);
	return 0;
}

bool cli_is_platform_file(const char *path)
{
	return g_str_has_suffix(path, ".json") ||
	       g_str_has_suffix(path, ".conf");
}

int cli_check_platform(struct cli *cli)
{
	guint errors = 0;

	for (char **path = cli->args; *path; path++)
		errors += g_str_has_suffix(*path, ".json")
				  ? check_config(*path)
				  : check_settings(*path);
	if (!errors)
		printf("good\n");
	return errors ? CLI_FAILED : CLI_DONE;
}
