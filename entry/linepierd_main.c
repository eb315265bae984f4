/* linepierd: runs an entry or an agent, as --role selects. */
#include "agent/agent.h"
#include "base/lp_error.h"
#include "base/lp_log.h"
#include "entry/entry.h"

#define EXIT_USAGE 2

static int run_role(const struct node_settings *settings)
{
	int error;

	lp_log_init(settings->host, (enum lp_log_level)settings->log_level);
	if (settings->role == NODE_ROLE_ENTRY)
		error = entry_run(settings);
	else
		error = agent_run(settings);
	return error ? 1 : 0;
}

int main(int argc, const char **argv)
{
	struct node_settings settings = { 0 };
	struct lp_settings_rest rest = { 0 };
	int status = EXIT_USAGE;

	lp_settings_load(node_settings_table, node_settings_count, &settings,
			 argc, argv, "[OPTION...]", &rest);
	node_settings_check(&settings, rest.errors);
	if (rest.args[0])
		g_ptr_array_add(rest.errors,
				g_strdup_printf("%s: expected no arguments",
						rest.args[0]));
	if (rest.errors->len)
		lp_settings_print_errors(&rest);
	else
		status = run_role(&settings);
	lp_settings_clear(node_settings_table, node_settings_count, &settings,
			  &rest);
	return status;
}
