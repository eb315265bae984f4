/**
 * The soak's sound upstreams that pause: engines that send nothing for a while
 * in the middle of their streams, and plain upstreams that take long, within
 * and beyond the times after which an entry considers another upstream. In half
 * of the runs the retry budget is always spent.
 *
 * Without other faults entries are told to end one after the other, or
 * together, and started again. Whatever they have begun to answer must be
 * whole, and nothing may fail before its deadline.
 */
#ifndef SOAK_PAUSES_H
#define SOAK_PAUSES_H

#include "tools/pe.h"

#include <stdbool.h>
#include <stdint.h>

struct soak_pauses;

struct soak_pauses_options {
	const GPtrArray *upstreams; /**< of struct pe_upstream */
	uint32_t seed;
	/** Tells an entry that runs to end, or starts one that has ended. */
	void (*toggle_entry)(void *userdata, uint32_t number);
	uint32_t entries;
	/** Entries are left alone, and answers are not judged. */
	bool has_faults;
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

/** How a request has ended at an entry that was at most told to end. */
struct soak_pauses_outcome {
	const char *id;
	uint32_t status; /**< 0: no answer has begun */
	bool is_refused; /**< its connection was: nobody listened */
	bool is_whole;
	bool is_due; /**< its deadline or the entry's grace time is over */
};

struct soak_pauses *
soak_pauses_create(const struct soak_pauses_options *options);
/** All functions take NULL, for a soak without pauses. */
void soak_pauses_destroy(struct soak_pauses *pauses);
/** The entries are ready. */
void soak_pauses_begin(struct soak_pauses *pauses);
/** Whether the settings of the entries leave no retry in the budget. */
bool soak_pauses_spend_budget(const struct soak_pauses *pauses);
void soak_pauses_judge(struct soak_pauses *pauses,
		       const struct soak_pauses_outcome *outcome);
/** No entry is told to end from now on. */
void soak_pauses_end(struct soak_pauses *pauses);
void soak_pauses_settle(struct soak_pauses *pauses);

#endif
