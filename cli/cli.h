/**
 * The operators' command line: one function a command.
 *
 * Commands print to standard output, errors to standard error, and return
 * the exit status: 0 done, 1 refused or failed, 2 wrong usage.
 */
#ifndef CLI_H
#define CLI_H

#include "config/cfg_record.h"
#include "store/store_etcd.h"
#include "store/store_hosts.h"

enum cli_exit {
	CLI_DONE = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
};

struct cli_settings {
	char *kv_url;
	char *hosts_url;
	char *who;
	char *reason;
	int64_t expect_revision; /**< -1: any */
	int64_t wait;		 /**< return when it is in force everywhere */
	int64_t wait_ms;
	int64_t limit; /**< most lines of audit and history */
};

struct cli {
	const struct cli_settings *settings;
	char **args; /**< after the command's name */
	struct store_kv *kv;
	struct store_http *http;
	struct lp_counters *counters;
};

int cli_check(struct cli *cli);
/**
 * `check` of what the users' platform is given: settings (*.conf) and
 * configurations (*.json), all of cli->args.
 */
int cli_check_platform(struct cli *cli);
/** Whether a file's name says that it belongs to the users' platform. */
bool cli_is_platform_file(const char *path);
int cli_diff(struct cli *cli);
int cli_apply(struct cli *cli);
int cli_show(struct cli *cli);
int cli_history(struct cli *cli);
int cli_rollback(struct cli *cli);
int cli_audit(struct cli *cli);
int cli_status(struct cli *cli);
int cli_explain(struct cli *cli);
int cli_watch(struct cli *cli);
int cli_drain(struct cli *cli);

/* ---- cli_io.c: calls that wait for their answer ---- */

/** Copy of a KV value with its revision; key NULL: there is none. */
struct cli_value {
	char *value; /**< NULL: the key does not exist */
	int64_t mod_revision;
};

/** Read a key. LP_OK or LP_ERROR_PLATFORM_DOWN. */
int cli_read(struct cli *cli, const char *key, struct cli_value *out);
void cli_value_clear(struct cli_value *value);
/** Values of all keys with a prefix, char *, in no order. */
int cli_read_all(struct cli *cli, const char *prefix, GPtrArray **out);
/** LP_OK; LP_ERROR_CONFLICT: a compare failed; PLATFORM_DOWN: not known. */
int cli_txn(struct cli *cli, const struct store_txn *txn);
/** GET a JSON body; NULL when it fails. json_node_unref(). */
JsonNode *cli_get(struct cli *cli, const char *url);
/** POST nothing; did an answer of the 200s come? */
bool cli_post(struct cli *cli, const char *url);
/** The host list's "hosts" array; NULL when it fails. json_node_unref(). */
JsonNode *cli_hosts(struct cli *cli);
/** Print a line to standard error. */
void cli_error(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Wait this long with the main loop running. */
void cli_pause(int64_t wait_us);

/* ---- cli_fleet.c ---- */

/** Wait until all live processes have a revision; names those that lag. */
int cli_wait_in_force(struct cli *cli, uint64_t revision);

#endif
