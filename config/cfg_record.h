/**
 * A configuration as it is stored, sent and shared.
 *
 * A record is what the KV holds: the text with its revision and who applied
 * it. A snapshot is a record that is checked and in use, counted by
 * reference: a request keeps the one it was accepted under.
 */
#ifndef CFG_RECORD_H
#define CFG_RECORD_H

#include "config/cfg.h"

/** KV keys. */
#define CFG_KEY "linepier/config"
#define CFG_NUMBER_KEY "linepier/revision" /* the revision alone */
#define CFG_AUDIT_PREFIX "linepier/audit/"
#define CFG_HISTORY_PREFIX "linepier/history/"
/** Records an audit segment holds, and segments kept. */
#define CFG_AUDIT_SEGMENT 50
#define CFG_AUDIT_SEGMENTS 40
/** Texts kept for rollback. */
#define CFG_HISTORY 64

struct cfg_record {
	uint64_t revision;
	char *apply_id; /**< settles a lost answer */
	char *who;
	int64_t when_us; /**< wall clock */
	char *text;
};

struct cfg_record *cfg_record_create(uint64_t revision, const char *apply_id,
				     const char *who, const char *text);
void cfg_record_destroy(struct cfg_record *record);
/** JSON for the KV; g_free(). */
char *cfg_record_print(const struct cfg_record *record);
/** Returns LP_OK or LP_ERROR_BAD_CONFIG. */
int cfg_record_parse(const char *json, struct cfg_record **out);

struct cfg_snapshot {
	int refs;
	uint64_t revision;
	int64_t since_us;    /**< wall clock, when it came into force here */
	struct cfg_doc *doc; /**< NULL once forgotten */
	GBytes *packed;	     /**< compressed record, as peers pull it */
	void *attached;	     /**< the role's own tables for this revision */
	void (*free_attached)(void *attached);
};

/** Make a snapshot of a record. LP_OK or LP_ERROR_BAD_CONFIG. */
int cfg_snapshot_create(const struct cfg_record *record,
			struct cfg_snapshot **out);
/** Make a snapshot of a packed record. */
int cfg_snapshot_unpack(GBytes *packed, struct cfg_snapshot **out);
/** Free the document; the packed record stays, for peers to pull. */
void cfg_snapshot_forget_doc(struct cfg_snapshot *snapshot);
struct cfg_snapshot *cfg_snapshot_ref(struct cfg_snapshot *snapshot);
void cfg_snapshot_unref(struct cfg_snapshot *snapshot);

#endif
