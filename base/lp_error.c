#include "base/lp_error.h"

static const struct lp_error_info infos[] = {
	{ "ok", "no error", 200, false },
	{ "bad_request", "the request is malformed", 400, false },
	{ "unauthenticated", "the bearer token is missing or unknown", 401,
	  false },
	{ "forbidden", "this organisation may not call this pipeline", 403,
	  false },
	{ "unknown_pipeline", "no pipeline has this name", 404, false },
	{ "too_large", "the request is larger than the limit", 413, false },
	{ "slow_request", "the request did not arrive in time", 408, true },
	{ "rate_limited", "the organisation's rate limit is reached", 429,
	  true },
	{ "overloaded", "the queue is full or refuses this share", 503, true },
	{ "deadline_unreachable", "the deadline cannot be met", 503, true },
	{ "deadline_passed", "the deadline has passed", 504, true },
	{ "upstream_failed", "an upstream answered with an error", 502, true },
	{ "upstream_gone", "the upstream's agent is gone", 502, true },
	{ "no_upstream", "no upstream of the service can be reached", 503,
	  true },
	{ "leaving", "the process is shutting down", 503, true },
	{ "stale_call", "the call was too old when it arrived", 503, true },
	{ "wrong_incarnation", "the call was for an earlier process", 503,
	  true },
	{ "withdrawn", "the call was withdrawn", 499, true },
	{ "stream_broken", "the stream broke and could not be resumed", 502,
	  true },
	{ "key_mismatch", "the idempotency key was used for another request",
	  422, false },
	{ "key_in_use", "the first request with this key is not settled", 409,
	  true },
	{ "platform_down", "the platform's key-value service is unreachable",
	  503, true },
	{ "no_config", "no configuration has been received yet", 503, true },
	{ "bad_config", "the configuration is not valid", 422, false },
	{ "conflict", "the configuration was changed by someone else", 409,
	  false },
	{ "protocol", "a peer broke the protocol", 502, false },
	{ "system", "an internal error", 500, true },
	{ "method", "the method is not allowed here", 405, false },
	{ "key_lost", "the entry that owns the idempotency key cannot be asked",
	  409, false },
	{ "not_listening", "no process listens at the address", 502, true },
	{ "answer_too_large", "an answer is larger than allowed", 502, false },
};

G_STATIC_ASSERT(G_N_ELEMENTS(infos) == -LP_ERROR_LAST + 1);

const struct lp_error_info *lp_error_info(int error)
{
	if (error > 0 || error < LP_ERROR_LAST)
		error = LP_ERROR_SYSTEM;
	return &infos[-error];
}

const char *lp_strerror(int error)
{
	return lp_error_info(error)->title;
}

const char *lp_run_name(enum lp_run run)
{
	switch (run) {
	case LP_RUN_NOT_RUN:
		return "not_run";
	case LP_RUN_RAN:
		return "ran";
	case LP_RUN_MAY_HAVE_RUN:
		break;
	}
	return "may_have_run";
}
