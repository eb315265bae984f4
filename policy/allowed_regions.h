/**
 * Regions in which a request may be served: those allowed for its route and
 * those allowed for its organisation. If both are restricted, both apply.
 *
 * A set of regions is an interned string, the same pointer for equal sets. It
 * needs no owner and can be sent to other entries.
 */
#ifndef ALLOWED_REGIONS_H
#define ALLOWED_REGIONS_H

#include <glib.h>
#include <stdbool.h>

/** No restriction. */
#define ALLOWED_REGIONS_ANY NULL

const char *allowed_regions_create(const char *const *regions, guint count);
/** Either argument may be ALLOWED_REGIONS_ANY. */
const char *allowed_regions_intersect(const char *one, const char *two);
/** `region` NULL: unknown, which only ALLOWED_REGIONS_ANY contains. */
bool allowed_regions_contain(const char *allowed_regions, const char *region);
/** Wire format for other entries, and back. Both results are interned. */
const char *allowed_regions_encode(const char *allowed_regions);
const char *allowed_regions_decode(const char *text);

#endif
