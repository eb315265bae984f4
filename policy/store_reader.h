/**
 * Decides which entries of a fleet call the key-value service.
 *
 * Calls cost money, so a bounded number of entries, the readers, watch the
 * configuration and poll the list of upstreams, and pass on what they receive.
 * The members rank themselves: strong ones first, then by rendezvous hash;
 * those with a rank below STORE_READER_COUNT are elected. Each reader reports
 * to all members when its watch is answered, and announces each list that it
 * polls.
 *
 * Any other entry takes over when it has received no report, or no list, for
 * too long. The time depends on its rank: the first entries to take over report
 * to the rest before the rest do the same. An entry that took over stops when
 * enough better ranked members report.
 *
 * An entry that starts does not call the service while it discovers the others:
 * it gets everything from a member, if one is running. Bootstrap readers are
 * the exception: they call at once, since a fleet that starts as a whole needs
 * some that do.
 *
 * Members are ranked by what this entry knows of them. Entries that disagree
 * elect a few readers too many, or take over from each other; none of them is
 * left without news for longer than the takeover time.
 *
 * The readers' calls may happen to be answered one soon after the other, with a
 * long pause until the next round. So a reader whose watch was answered lately
 * reports again when no reader has reported for a while.
 *
 * Pure: events and the clock in, decisions out. Times are in microseconds.
 */
#ifndef STORE_READER_H
#define STORE_READER_H

#include "base/lp_clock.h"
#include "policy/dispatchers.h"

/** Elected readers. With this many, whose calls start at different times, a
 * watch that the service lost is noticed in an eighth of a call's duration. */
#define STORE_READER_COUNT 8

/** This entry's place among the members. */
struct store_reader_standing {
	uint32_t rank;	  /**< 0: first */
	uint32_t members; /**< this entry included */
	bool is_settled;  /**< the discovery of members after a start is over */
};

/**
 * The rank of `self` among the members. An entry that is no member, or that
 * takes no work, is ranked after all others.
 */
uint32_t store_reader_rank(const struct dispatchers_member *members,
			   uint32_t count, uint64_t self);

struct store_reader_options {
	const struct lp_clock *clock;
	int64_t apply_us;      /**< a change has to be in force within it */
	int64_t poll_us;       /**< interval between polls of the list */
	int64_t list_bound_us; /**< a change of the list must be known within it
				*/
	bool is_bootstrap_reader;
};

/** A member's report that its watch was answered. */
struct store_reader_report {
	uint64_t member;
	uint32_t rank;	     /**< as the member sees it */
	int64_t answered_us; /**< 0: unused */
};

/** Reports that are kept: more than are needed to stop. */
#define STORE_READER_REPORTS (2 * STORE_READER_COUNT)

struct store_reader {
	struct store_reader_options options;
	struct store_reader_standing standing;
	struct store_reader_report reports[STORE_READER_REPORTS];
	int64_t reported_us; /**< latest report of any reader, or the start */
	int64_t answered_us; /**< last answer to the own watch; 0: none */
	int64_t retry_us;    /**< no takeover before */
	bool is_watching;
};

void store_reader_init(struct store_reader *reader,
		       const struct store_reader_options *options);
void store_reader_set_standing(struct store_reader *reader,
			       const struct store_reader_standing *standing);
bool store_reader_is_elected(const struct store_reader *reader);
/** A member reports that its watch was answered `age_us` ago. */
void store_reader_handle_report(struct store_reader *reader, uint64_t member,
				uint32_t rank, int64_t age_us);
/**
 * The watch failed. Returns whether this entry is to try again: one that is not
 * elected leaves it to the readers for a while, as failed calls cost money,
 * too.
 */
bool store_reader_handle_watch_failure(struct store_reader *reader);
/** The own watch was answered, which is reported to all members. */
void store_reader_handle_answer(struct store_reader *reader);
/** Whether to report to all members again, although nothing was answered. */
bool store_reader_should_repeat_report(struct store_reader *reader);
/** Whether this entry is to watch now. */
bool store_reader_should_watch(struct store_reader *reader);
/**
 * The age of the list at which this entry polls it; `random`: from 0 to 1.
 * While members are being discovered it leaves the polls to others.
 */
int64_t store_reader_poll_age_us(const struct store_reader *reader,
				 double random);

#endif
