/* Who owns an idempotency key: tickets, claims, forwarding to the owner. */
#include "base/lp_log.h"
#include "entry/entry_private.h"

#include <string.h>

#define CLAIM_PREFIX "linepier/claims/"
#define LEASES_PER_KEEP 4 /* a claim's lease is at most this old */
#define FORWARD_SLACK_US (20 * LP_US_PER_MS)
/* An owner that has not even seen it by then is gone, or stands still. */
#define FORWARD_SEEN_US (700 * LP_US_PER_MS)

/* A request that another entry answers. */
struct forward {
	uint64_t serial;
	struct entry_request *request;
	int64_t seen_by_us; /* 0 once the owner has it */
	int64_t until_us;
};

/* A request that another entry sent here. */
struct guest {
	struct entry *entry;
	char *peer;
	uint64_t serial;
};

struct entry_owners {
	struct entry *entry;
	struct idempotency_keys *keys;
	struct claims *claims;
	GHashTable *forwards; /* serial to forward */
	GHashTable *keyed;    /* entry_request to struct pending, claimed now */
	char *self;	      /* how claims name this process */
	uint64_t serial;
	int64_t lease;
	int64_t lease_us; /* when it was granted */
	bool leasing;
	bool write_waits;      /* for the lease */
	GPtrArray *batch_keys; /* KV keys of the write that waits */
};

/* What is kept of a request while its claim is written. */
struct pending {
	struct entry_keyed keyed;
	char *pipeline;
	char *organisation;
	char *key;
	char *scoped;
	char *body;
};

static void free_pending(gpointer data)
{
	struct pending *pending = data;

	g_free(pending->pipeline);
	g_free(pending->organisation);
	g_free(pending->key);
	g_free(pending->scoped);
	g_free(pending->body);
	g_free(pending);
}

static struct pending *keep(const struct entry_keyed *keyed)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->keyed = *keyed;
	pending->keyed.pipeline = pending->pipeline = g_strdup(keyed->pipeline);
	pending->keyed.organisation = pending->organisation =
		g_strdup(keyed->organisation);
	pending->keyed.key = pending->key = g_strdup(keyed->key);
	pending->keyed.scoped = pending->scoped = g_strdup(keyed->scoped);
	pending->keyed.body = pending->body = g_strdup(keyed->body);
	return pending;
}

static void end_with(struct entry_request *request, int error, enum lp_run run,
		     const char *detail)
{
	const struct entry_answer answer = {
		.error = error,
		.run = run,
		.id = "",
		.detail = detail,
	};

	entry_request_end(request, &answer);
}

/* ---- this entry owns the key ---- */

static void wake_waiter(void *userdata, void *waiter,
			const struct idempotency_answer *kept)
{
	const struct entry_answer answer = {
		.error = kept->error,
		.run = kept->run,
		.id = "",
		.body = kept->error ? NULL : kept->body,
	};

	entry_request_end(waiter, &answer);
}

bool entry_owners_begin(struct entry_owners *owners,
			const struct entry_keyed *keyed)
{
	const struct idempotency_request request = {
		.key = keyed->scoped,
		.fingerprint = keyed->fingerprint,
		.deadline_us = keyed->deadline_us,
		.waiter = keyed->request,
	};
	struct idempotency_answer kept;

	switch (idempotency_begin(owners->keys, &request, &kept)) {
	case IDEMPOTENCY_NEW:
		return true;
	case IDEMPOTENCY_WAIT:
		break;
	case IDEMPOTENCY_ANSWERED:
		wake_waiter(owners, keyed->request, &kept);
		break;
	case IDEMPOTENCY_MISMATCH:
		end_with(keyed->request, LP_ERROR_KEY_MISMATCH, LP_RUN_NOT_RUN,
			 NULL);
		break;
	case IDEMPOTENCY_FULL:
		end_with(keyed->request, LP_ERROR_OVERLOADED, LP_RUN_NOT_RUN,
			 "this entry can keep no more keys");
		break;
	}
	return false;
}

void entry_owners_end(struct entry_owners *owners, const char *scoped,
		      const struct entry_answer *answer)
{
	const struct idempotency_answer kept = {
		.error = answer->error,
		.run = answer->run,
		.body = answer->body,
	};

	idempotency_finish(owners->keys, scoped, &kept);
}

static gboolean is_of_request(gpointer key, gpointer value, gpointer userdata)
{
	const struct forward *forward = value;

	return forward->request == userdata;
}

void entry_owners_forget(struct entry_owners *owners,
			 struct entry_request *request)
{
	claims_remove_waiter(owners->claims, request);
	g_hash_table_remove(owners->keyed, request);
	idempotency_remove_waiter(owners->keys, request);
	g_hash_table_foreach_remove(owners->forwards, is_of_request, request);
}

/* ---- another entry owns it ---- */

static void forward_to(struct entry_owners *owners, const char *host,
		       uint64_t incarnation, const struct entry_keyed *keyed)
{
	struct entry *entry = owners->entry;
	struct forward *forward = g_new0(struct forward, 1);
	int64_t left_us = keyed->deadline_us - entry_now_us(entry);
	struct wire_msg msg = { .type = WIRE_FORWARD };

	forward->serial = ++owners->serial;
	forward->request = keyed->request;
	forward->seen_by_us = entry_now_us(entry) + FORWARD_SEEN_US;
	forward->until_us = keyed->deadline_us + FORWARD_SLACK_US;
	msg.u.forward.serial = forward->serial;
	msg.u.forward.incarnation = incarnation;
	msg.u.forward.pipeline = (char *)keyed->pipeline;
	msg.u.forward.organisation = (char *)keyed->organisation;
	msg.u.forward.key = (char *)keyed->key;
	msg.u.forward.left_us = left_us;
	msg.u.forward.body = (char *)keyed->body;
	if (left_us <= 0 || entry_peers_send_entry(entry->peers, host, &msg)) {
		g_free(forward);
		end_with(keyed->request, LP_ERROR_KEY_LOST, LP_RUN_MAY_HAVE_RUN,
			 NULL);
		return;
	}
	entry_count(entry, "linepier_entry_forwarded_total", NULL, NULL);
	g_hash_table_insert(owners->forwards, &forward->serial, forward);
}

static void take_forwarded(struct entry_owners *owners,
			   const struct wire_forwarded *wire)
{
	struct forward *forward =
		g_hash_table_lookup(owners->forwards, &wire->serial);
	const struct entry_answer answer = {
		.error = wire->error,
		.run = wire->run,
		.id = "",
		.body = wire->error ? NULL : wire->body,
	};
	struct entry_request *request;

	if (!forward)
		return;
	request = forward->request;
	g_hash_table_remove(owners->forwards, &wire->serial);
	entry_request_end(request, &answer);
}

static void take_seen(struct entry_owners *owners,
		      const struct wire_forward_seen *wire)
{
	struct forward *forward =
		g_hash_table_lookup(owners->forwards, &wire->serial);

	if (forward)
		forward->seen_by_us = 0;
}

static void send_seen(struct entry *entry, const char *peer, uint64_t serial)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_SEEN };

	msg.u.forward_seen.serial = serial;
	node_send(entry->node, peer, &msg);
}

static void send_forwarded(struct entry *entry, const char *peer,
			   uint64_t serial, int error, enum lp_run run,
			   const char *body)
{
	struct wire_msg msg = { .type = WIRE_FORWARDED };

	msg.u.forwarded.serial = serial;
	msg.u.forwarded.error = error;
	msg.u.forwarded.run = (uint8_t)run;
	msg.u.forwarded.body = (char *)(body ? body : "");
	node_send(entry->node, peer, &msg);
}

static void guest_answer(void *userdata, const struct entry_answer *answer)
{
	struct guest *guest = userdata;

	send_forwarded(guest->entry, guest->peer, guest->serial, answer->error,
		       answer->run, answer->body);
	g_free(guest->peer);
	g_free(guest);
}

static const struct entry_caller_ops guest_ops = { NULL, guest_answer };

static void take_guest(struct entry_owners *owners, const char *peer,
		       const struct wire_forward *wire)
{
	struct entry *entry = owners->entry;
	struct guest *guest;

	if (wire->incarnation != node_incarnation(entry->node)) {
		send_forwarded(entry, peer, wire->serial, LP_ERROR_KEY_LOST,
			       LP_RUN_MAY_HAVE_RUN, NULL);
		return;
	}
	send_seen(entry, peer, wire->serial);
	guest = g_new0(struct guest, 1);
	guest->entry = entry;
	guest->peer = g_strdup(peer);
	guest->serial = wire->serial;
	const struct entry_ask ask = {
		.pipeline = wire->pipeline,
		.organisation = wire->organisation,
		.key = wire->key,
		.trace = "",
		.left_us = wire->left_us,
		.body = wire->body,
		.body_size = strlen(wire->body),
		.owned = true,
		.ops = &guest_ops,
		.userdata = guest,
	};
	entry_request_begin(entry, &ask, NULL);
}

void entry_owners_message(struct entry_owners *owners, const char *peer,
			  struct wire_msg *msg)
{
	if (msg->type == WIRE_FORWARD)
		take_guest(owners, peer, &msg->u.forward);
	else if (msg->type == WIRE_FORWARD_SEEN)
		take_seen(owners, &msg->u.forward_seen);
	else
		take_forwarded(owners, &msg->u.forwarded);
}

/* ---- claims ---- */

static char *claim_key(const char *scoped)
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, scoped, -1);

	return g_strconcat(CLAIM_PREFIX, digest, NULL);
}

static void on_written(void *userdata, const struct store_answer *answer)
{
	struct entry_owners *owners = userdata;
	g_autoptr(GPtrArray) keys = owners->batch_keys;
	g_autofree struct claim_found *found = NULL;

	owners->batch_keys = NULL;
	if (answer->error) {
		owners->lease = 0; /* it may be what the KV refused */
		claims_write_done(owners->claims, answer->error, false, NULL,
				  0);
		return;
	}
	found = g_new0(struct claim_found, answer->pairs_count + 1);
	for (uint32_t i = 0; i < answer->pairs_count; i++) {
		found[i].key = answer->pairs[i].key;
		found[i].owner = answer->pairs[i].value;
	}
	claims_write_done(owners->claims, LP_OK, answer->succeeded, found,
			  answer->pairs_count);
}

static void send_claims(struct entry_owners *owners)
{
	struct store_kv *kv = node_kv(owners->entry->node);
	guint count = owners->batch_keys->len;
	g_autofree struct store_compare *compares =
		g_new0(struct store_compare, count);
	g_autofree struct store_put *puts = g_new0(struct store_put, count);

	for (guint i = 0; i < count; i++) {
		compares[i].key = g_ptr_array_index(owners->batch_keys, i);
		puts[i].key = compares[i].key;
		puts[i].value = owners->self;
		puts[i].lease = owners->lease;
	}
	const struct store_txn txn = {
		.compares = compares,
		.compares_count = count,
		.puts = puts,
		.puts_count = count,
		.reads = (const char *const *)owners->batch_keys->pdata,
		.reads_count = count,
	};
	kv->ops->txn(kv, "claim", &txn, on_written, owners);
}

static void on_lease(void *userdata, const struct store_answer *answer)
{
	struct entry_owners *owners = userdata;

	owners->leasing = false;
	if (!answer->error) {
		owners->lease = answer->lease;
		owners->lease_us = entry_now_us(owners->entry);
	}
	if (!owners->write_waits)
		return;
	owners->write_waits = false;
	if (answer->error)
		on_written(owners, answer);
	else
		send_claims(owners);
}

static bool lease_is_fresh(const struct entry_owners *owners)
{
	int64_t keep_us = owners->entry->settings->key_keep_ms * LP_US_PER_MS;
	int64_t age_us = entry_now_us(owners->entry) - owners->lease_us;

	return owners->lease && age_us < keep_us / LEASES_PER_KEEP;
}

static void claims_write(void *userdata, const struct claim_item *items,
			 uint32_t count)
{
	struct entry_owners *owners = userdata;
	struct store_kv *kv = node_kv(owners->entry->node);
	int64_t ttl_s = owners->entry->settings->key_keep_ms * 2 /
			(LP_US_PER_S / LP_US_PER_MS);

	owners->batch_keys = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(owners->batch_keys, g_strdup(items[i].key));
	if (lease_is_fresh(owners)) {
		send_claims(owners);
		return;
	}
	owners->write_waits = true;
	if (owners->leasing)
		return;
	owners->leasing = true;
	kv->ops->lease_grant(kv, "claim_lease", ttl_s, on_lease, owners);
}

/* "HOST INCARNATION" */
static bool parse_owner(const char *owner, char **host, uint64_t *incarnation)
{
	const char *space = strchr(owner, ' ');

	if (!space)
		return false;
	*host = g_strndup(owner, (gsize)(space - owner));
	*incarnation = g_ascii_strtoull(space + 1, NULL, 16);
	return true;
}

static void claim_settled(void *userdata, void *waiter, int error,
			  const char *owner)
{
	struct entry_owners *owners = userdata;
	struct pending *pending = g_hash_table_lookup(owners->keyed, waiter);
	g_autofree char *host = NULL;
	uint64_t incarnation;

	if (!pending)
		return;
	g_hash_table_steal(owners->keyed, waiter);
	if (error)
		end_with(waiter, error, LP_RUN_NOT_RUN,
			 "the claim on the key could not be settled");
	else if (!strcmp(owner, owners->self))
		entry_request_owned(waiter);
	else if (parse_owner(owner, &host, &incarnation))
		forward_to(owners, host, incarnation, &pending->keyed);
	else
		end_with(waiter, LP_ERROR_KEY_LOST, LP_RUN_MAY_HAVE_RUN, NULL);
	free_pending(pending);
}

static const struct claims_ops claims_ops = { claims_write, claim_settled };

/* ---- finding the owner ---- */

static void find_by_ticket(struct entry_owners *owners,
			   const struct entry_keyed *keyed,
			   const struct idempotency_ticket *ticket)
{
	struct entry *entry = owners->entry;
	int64_t now_s = g_get_real_time() / LP_US_PER_S;

	if (ticket->expires_s < now_s)
		end_with(keyed->request, LP_ERROR_KEY_LOST, LP_RUN_MAY_HAVE_RUN,
			 "the ticket has expired");
	else if (strcmp(ticket->host, entry->settings->host) != 0)
		forward_to(owners, ticket->host, ticket->incarnation, keyed);
	else if (ticket->incarnation == node_incarnation(entry->node))
		entry_request_owned(keyed->request);
	else
		end_with(keyed->request, LP_ERROR_KEY_LOST, LP_RUN_MAY_HAVE_RUN,
			 NULL);
}

void entry_owners_find(struct entry_owners *owners,
		       const struct entry_keyed *keyed)
{
	struct idempotency_ticket ticket;
	g_autofree char *kv_key = NULL;

	if (idempotency_ticket_parse(keyed->key, &ticket)) {
		find_by_ticket(owners, keyed, &ticket);
		g_free(ticket.host);
		return;
	}
	if (!keyed->needs_claim) {
		entry_request_owned(keyed->request);
		return;
	}
	kv_key = claim_key(keyed->scoped);
	g_hash_table_insert(owners->keyed, keyed->request, keep(keyed));
	claims_add(owners->claims, kv_key, owners->self, keyed->deadline_us,
		   keyed->request);
}

char *entry_ticket_mint(struct entry *entry)
{
	int64_t keep_s =
		entry->settings->key_keep_ms / (LP_US_PER_S / LP_US_PER_MS);

	return idempotency_ticket_create(
		entry->settings->host, node_incarnation(entry->node),
		g_get_real_time() / LP_US_PER_S + keep_s);
}

/* ---- life ---- */

struct entry_owners *entry_owners_create(struct entry *entry)
{
	struct entry_owners *owners = g_new0(struct entry_owners, 1);
	const struct idempotency_options keys = {
		.clock = node_clock(entry->node),
		/* Longer than tickets and claims last. */
		.result_ttl_us =
			entry->settings->key_keep_ms * LP_US_PER_MS * 2,
		.wake = wake_waiter,
		.userdata = owners,
	};
	const struct claims_options claims = {
		.clock = node_clock(entry->node),
		.ops = &claims_ops,
		.userdata = owners,
		.naive = entry->settings->naive,
	};

	owners->entry = entry;
	owners->keys = idempotency_create(&keys);
	owners->claims = claims_create(&claims);
	owners->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	owners->keyed = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, free_pending);
	owners->self = g_strdup_printf("%s %" G_GINT64_MODIFIER "x",
				       entry->settings->host,
				       node_incarnation(entry->node));
	return owners;
}

void entry_owners_destroy(struct entry_owners *owners)
{
	if (!owners)
		return;
	if (owners->batch_keys)
		g_ptr_array_unref(owners->batch_keys);
	claims_destroy(owners->claims);
	idempotency_destroy(owners->keys);
	g_hash_table_unref(owners->forwards);
	g_hash_table_unref(owners->keyed);
	g_free(owners->self);
	g_free(owners);
}

static bool is_unseen(const struct forward *forward, int64_t now_us)
{
	return forward->seen_by_us && forward->seen_by_us <= now_us;
}

static void expire_forwards(struct entry_owners *owners)
{
	int64_t now_us = entry_now_us(owners->entry);
	g_autoptr(GPtrArray) unseen = g_ptr_array_new();
	g_autoptr(GPtrArray) late = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owners->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct forward *forward = value;

		if (is_unseen(forward, now_us))
			g_ptr_array_add(unseen, forward->request);
		else if (forward->until_us <= now_us)
			g_ptr_array_add(late, forward->request);
		else
			continue;
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < unseen->len; i++)
		end_with(g_ptr_array_index(unseen, i), LP_ERROR_KEY_LOST,
			 LP_RUN_MAY_HAVE_RUN, "the key's owner is silent");
	for (guint i = 0; i < late->len; i++)
		end_with(g_ptr_array_index(late, i), LP_ERROR_DEADLINE_PASSED,
			 LP_RUN_MAY_HAVE_RUN, NULL);
}

void entry_owners_tick(struct entry_owners *owners)
{
	claims_tick(owners->claims);
	idempotency_tick(owners->keys);
	expire_forwards(owners);
}

uint32_t entry_owners_count(const struct entry_owners *owners)
{
	return idempotency_record_count(owners->keys);
}
