/**
 * Tells a peer that reads slowly from one that is gone.
 *
 * Bytes that were sent on a connection stay undelivered in both cases. A peer
 * that is there acknowledges what it is sent, and, once its receive window is
 * closed, each probe of that window, however long it reads nothing. Only a peer
 * that acknowledges nothing at all is gone.
 *
 * Pure: fed with reports of the system about a connection with undelivered
 * bytes. Times are in microseconds.
 */
#ifndef PEER_LIVENESS_H
#define PEER_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

enum peer_state {
	PEER_DELIVERED, /**< it has acknowledged everything */
	PEER_IN_FLIGHT, /**< it is expected to acknowledge what is in flight */
	PEER_SLOW,	/**< it is there, but its receive window is closed */
	PEER_GONE,	/**< it acknowledges nothing */
};

/** What the system knows of a connection. */
struct peer_report {
	int64_t now_us;
	int64_t undelivered_bytes; /**< written, and not acknowledged yet */
	int64_t heard_us;	   /**< last acknowledgement of any kind */
	bool is_in_flight;	   /**< segments are not acknowledged yet */
	bool is_probe_unanswered;  /**< a probe of the closed window is not */
	/** The window is probed at least once a second. Otherwise probes get
	 * rarer the longer it is closed. */
	bool is_probed_often;
};

/** State of one connection. Zero-initialize it whenever bytes are written while
 * none are undelivered, and set `since_us` to that time. */
struct peer_liveness {
	int64_t since_us;
	int64_t unanswered_us; /**< first report of the unanswered probe; 0:
				  none */
};

/** The state of the peer. It is gone once it owes an acknowledgement for
 * `silence_max_us`. */
enum peer_state peer_liveness_update(struct peer_liveness *liveness,
				     const struct peer_report *report,
				     int64_t silence_max_us);
/** Time for which the peer has owed an acknowledgement, as of a report. */
int64_t peer_liveness_silence_us(const struct peer_liveness *liveness,
				 const struct peer_report *report);

#endif
