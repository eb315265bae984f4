/**
 * In which regions a request may be served: those of its route, and those of
 * its organisation, where they are restricted; both bind where both are.
 *
 * A set of regions is an interned text, equal for equal sets, so that it can
 * be kept without an owner and told to other entries.
 */
#ifndef ALLOWED_REGIONS_H
#define ALLOWED_REGIONS_H

#include <glib.h>
#include <stdbool.h>

/** No restriction. */
#define ALLOWED_REGIONS_ANY NULL

/** The set of these regions. */
const char *allowed_regions_create(const char *const *regions, guint count);
/** What is in both; either may be ALLOWED_REGIONS_ANY. */
const char *allowed_regions_intersect(const char *one, const char *two);
/** `region` NULL: not known, which is in no set. */
bool allowed_regions_contain(const char *homes, const char *region);
/** As text for other entries, and back; interned. */
const char *allowed_regions_encode(const char *homes);
const char *allowed_regions_decode(const char *text);

#endif
