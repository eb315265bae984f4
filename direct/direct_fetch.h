/**
 * Questions and calls of an entry's own to an upstream, as opposed to requests
 * of callers: one exchange whose answer is wanted whole.
 */
#ifndef DIRECT_FETCH_H
#define DIRECT_FETCH_H

#include "base/lp_clock.h"
#include "direct/direct_codec.h"
#include "http/http_fetch.h"

/**
 * Within a region a connection stands in a few ms; a lost packet is sent again
 * after a second, and by then another upstream is the better choice.
 */
#define DIRECT_CONNECT_TIMEOUT_US (400 * LP_US_PER_MS)

/**
 * http_fetch_start() with the upstream's address, the fields of a call and
 * DIRECT_CONNECT_TIMEOUT_US filled in. Only the one that is expected there
 * answers.
 */
struct http_fetch *direct_fetch_start(const struct direct_codec *codec,
				      const struct pool_upstream *upstream,
				      const struct http_fetch_options *options);

#endif
