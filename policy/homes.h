/**
 * Which upstream each entry goes to first, so that entries part among them.
 *
 * Every entry reckons it for itself from the members and upstreams it knows;
 * all come to the same where they know the same. Nothing breaks where they do
 * not: two entries may then meet at one upstream.
 */
#ifndef HOMES_H
#define HOMES_H

#include <stdint.h>

/** An entry or an upstream. */
struct homes_place {
	uint64_t hash;	    /**< names it */
	const char *domain; /**< failure domain */
};

/**
 * The index of the upstream that `self` goes to first: entries are spread
 * evenly, within their domain where that is even. -1: there is none, or
 * `self` is not among the entries. Sorts both lists by hash.
 */
int32_t homes_find(struct homes_place *entries, uint32_t entries_count,
		   struct homes_place *upstreams, uint32_t upstreams_count,
		   uint64_t self);

#endif
