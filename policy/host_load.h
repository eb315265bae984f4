/**
 * Load of an upstream's host, as the upstream reports it: how long work takes
 * there at present, in per cent of the usual time (usual: 100).
 *
 * The host is shared with other programs, and the figure changes many times a
 * second: a single one says little about a call that takes several times longer
 * than the figure lasts. So the figures are smoothed, and without new ones the
 * estimate returns to the usual load.
 */
#ifndef HOST_LOAD_H
#define HOST_LOAD_H

#include <stdint.h>

/** Initially all zero: nothing was reported, the load is usual. */
struct host_load {
	double excess; /**< private: smoothed share of the usual time by which
			  work takes longer */
	int64_t updated_us; /**< private: last report; 0: none */
};

/** Record a report. Per cent beyond 25 to 1000 count as these. */
void host_load_record(struct host_load *load, int32_t percent, int64_t now_us);
/** Expected time of work there as a multiple of the usual time, 0.25 to 10. */
double host_load_factor(const struct host_load *load, int64_t now_us);

#endif
