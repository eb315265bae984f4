/** Printing what a load saw. */
#ifndef LOAD_PRINT_H
#define LOAD_PRINT_H

#include "tools/load.h"

/** A line per pipeline and stage: mean queue, run, tokens, tries. */
void load_print_costs(const struct load *load);
/** Refusals by kind, then one line "load key=value ...". */
void load_print_report(const struct load_report *report);
/** Nothing lost, doubled, truncated, foreign or untrue. */
bool load_is_clean(const struct load_report *report);

#endif
