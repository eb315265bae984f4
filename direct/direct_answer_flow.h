/**
 * The answer of a request between its upstream and its caller: what is
 * buffered, and when the upstream waits for the caller.
 *
 * An event stream is passed on event by event, any other answer whole. An event
 * or answer that is larger than what may be buffered is passed on as it comes,
 * and cannot be sent again by another upstream. An upstream whose caller
 * does not keep up is not read from. An upstream may end an answer that stays
 * unread for some seconds, so a lot is buffered while there is memory.
 */
#ifndef DIRECT_ANSWER_FLOW_H
#define DIRECT_ANSWER_FLOW_H

#include "http/http_sock.h"

#include <stdbool.h>
#include <stdint.h>

/** Reserved for the answer of each request from its admission on, so that it
 * can go on while memory is short: one read, and as much again of which one
 * half may be buffered and the other left unread by the caller. */
#define DIRECT_ANSWER_RESERVED_BYTES (INT64_C(2) * HTTP_SOCK_READ_BYTES_MAX)

struct direct_request;

/** Pause or resume the upstream, by what the caller has not taken yet. To be
 * called whenever that has changed. */
void direct_answer_flow_update(struct direct_request *request);
/** The same when the system has taken bytes for the caller. `userdata`: the
 * request. */
void direct_answer_flow_on_taken(void *userdata);
/** Whether the caller has so much to read yet that it can wait for more. */
bool direct_answer_flow_is_behind(const struct direct_request *request);
/** Whether the buffered part of an answer, or of an event, has to be passed on
 * before its end. */
bool direct_answer_flow_is_full(const struct direct_request *request);
/** Count the buffered part of the answer as held. To be called whenever that
 * part has changed. */
void direct_answer_flow_count(struct direct_request *request);

#endif
