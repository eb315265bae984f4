/**
 * The answer of a request between its upstream and its caller: what is
 * buffered, and when the upstream waits for the caller.
 *
 * An event stream is passed on event by event, any other answer whole, or, if
 * it is larger than what may be buffered, as it comes. An upstream whose caller
 * does not keep up is not read from. An upstream may end an answer that stays
 * unread for some seconds, so a lot is buffered while there is memory.
 */
#ifndef DIRECT_ANSWER_FLOW_H
#define DIRECT_ANSWER_FLOW_H

#include <stdbool.h>

struct direct_request;

/** Pause or resume the upstream, by what the caller has not taken yet. To be
 * called whenever that has changed. */
void direct_answer_flow_update(struct direct_request *request);
/** The same when the system has taken bytes for the caller. `userdata`: the
 * request. */
void direct_answer_flow_on_taken(void *userdata);
/** Whether the caller has so much to read yet that it can wait for more. */
bool direct_answer_flow_is_behind(const struct direct_request *request);
/** Whether the buffered part of an answer has to be passed on before its end.
 */
bool direct_answer_flow_is_full(const struct direct_request *request);
/** Count the buffered part of the answer as held, or what is reserved for it.
 * To be called when the request is created, and whenever that part has changed.
 */
void direct_answer_flow_count(struct direct_request *request);

#endif
