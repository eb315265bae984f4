/**
 * In which regions a request may be served: those of its route, and those of
 * its organisation, where they are restricted; both bind where both are.
 *
 * A set of regions is an interned text, equal for equal sets, so that it can
 * be kept without an owner and told to other entries.
 */
#ifndef HOMES_H
#define HOMES_H

#include <glib.h>
#include <stdbool.h>

/** No restriction. */
#define HOMES_ANYWHERE NULL

/** The set of these regions. */
const char *homes_create(const char *const *regions, guint count);
/** What is in both; either may be HOMES_ANYWHERE. */
const char *homes_both(const char *one, const char *two);
/** `region` NULL: not known, which is in no set. */
bool homes_have(const char *homes, const char *region);
/** As text for other entries, and back; interned. */
const char *homes_write(const char *homes);
const char *homes_read(const char *text);

#endif
