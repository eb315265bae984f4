/**
 * Error kinds: the one closed list, and the table from kind to answer.
 *
 * Every function that can fail returns one of these negative numbers.
 * Libraries return them and print nothing.
 */
#ifndef LP_ERROR_H
#define LP_ERROR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum lp_error {
	LP_OK = 0,
	LP_ERROR_BAD_REQUEST = -1,
	LP_ERROR_UNAUTHENTICATED = -2,
	LP_ERROR_FORBIDDEN = -3,
	LP_ERROR_UNKNOWN_PIPELINE = -4,
	LP_ERROR_TOO_LARGE = -5,
	LP_ERROR_SLOW_REQUEST = -6,
	LP_ERROR_RATE_LIMITED = -7,
	LP_ERROR_OVERLOADED = -8,
	LP_ERROR_DEADLINE_UNREACHABLE = -9,
	LP_ERROR_DEADLINE_PASSED = -10,
	LP_ERROR_UPSTREAM_FAILED = -11,
	LP_ERROR_UPSTREAM_GONE = -12,
	LP_ERROR_NO_UPSTREAM = -13,
	LP_ERROR_LEAVING = -14,
	LP_ERROR_STALE_CALL = -15,
	LP_ERROR_WRONG_INCARNATION = -16,
	LP_ERROR_WITHDRAWN = -17,
	LP_ERROR_STREAM_BROKEN = -18,
	LP_ERROR_KEY_MISMATCH = -19,
	LP_ERROR_KEY_IN_USE = -20,
	LP_ERROR_PLATFORM_DOWN = -21,
	LP_ERROR_NO_CONFIG = -22,
	LP_ERROR_BAD_CONFIG = -23,
	LP_ERROR_CONFLICT = -24,
	LP_ERROR_PROTOCOL = -25,
	LP_ERROR_SYSTEM = -26,
	LP_ERROR_METHOD = -27,
	LP_ERROR_KEY_LOST = -28,
	LP_ERROR_NOT_LISTENING = -29,
	LP_ERROR_ANSWER_TOO_LARGE = -30,
	LP_ERROR_LAST = LP_ERROR_ANSWER_TOO_LARGE,
};

/** What is known of the execution of a request or call. */
enum lp_run {
	LP_RUN_NOT_RUN = 0,
	LP_RUN_MAY_HAVE_RUN = 1,
	LP_RUN_RAN = 2,
};

/** One row of the table from error kind to answer. */
struct lp_error_info {
	const char *name;  /**< stable, in problem documents and counters */
	const char *title; /**< one line for a person */
	uint16_t http_status;
	bool worth_retry; /**< the caller may try again later */
};

/** The row of an error number. Never NULL; unknown numbers give SYSTEM. */
const struct lp_error_info *lp_error_info(int error);
/** One line for a person. */
const char *lp_strerror(int error);
/** "not_run", "may_have_run" or "ran". */
const char *lp_run_name(enum lp_run run);

#endif
