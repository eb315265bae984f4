/**
 * Adapts the timeout of calls to the time that the called service takes.
 *
 * Until the first byte of an answer arrives, a service that is slow looks like
 * one that does not answer. With a fixed timeout each call to a service that
 * takes longer is given up, repeated and given up again. So the caller keeps
 * listening for answers to calls that it has given up, and reports how long
 * they took: later calls, and those under way, then get twice that time.
 *
 * Only answers raise the timeout, so a service that does not answer at all is
 * noticed within the initial one. Each faster answer and each further call
 * without an answer halves what was learnt.
 *
 * Pure; times are in microseconds.
 */
#ifndef CALL_TIMEOUT_H
#define CALL_TIMEOUT_H

#include <stdint.h>

/** No answer is awaited for longer. A service that takes longer counts as one
 * that does not answer. */
#define CALL_TIMEOUT_MAX_US (INT64_C(10) * 1000 * 1000)

/** What is known of one service; zero-initialized: nothing. */
struct call_timeout {
	int64_t latency_us; /**< recent time until an answer began */
};

/** The timeout of a call now; `initial_us`: if the service is fast, or nothing
 * is known of it. */
int64_t call_timeout_us(const struct call_timeout *timeout, int64_t initial_us);
/** An answer began this long after its call was sent, in time or too late. */
void call_timeout_on_answer(struct call_timeout *timeout, int64_t latency_us);
/** No answer began within the timeout of a call. */
void call_timeout_on_overdue(struct call_timeout *timeout);

#endif
