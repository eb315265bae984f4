/*
 * Ownership of idempotency keys. A key is owned by the entry that issued it as
 * a ticket or that wrote a claim on it to the KV; other entries forward
 * requests to the owner. A pipeline that can repeat every stage needs no claim:
 * the entry that receives the request owns the key.
 */
#include "base/lp_log.h"
#include "entry/entry_private.h"

#include <string.h>

#define CLAIM_PREFIX "linepier/claims/"
#define LEASE_RENEWALS_PER_KEEP 4 /* a claim's lease is at most this old */
#define FORWARD_SLACK_US (20 * LP_US_PER_MS)
/* An owner that has not acknowledged a forward by then is down or stalled. */
#define FORWARD_ACK_TIMEOUT_US (700 * LP_US_PER_MS)

/* A request forwarded to another entry. */
struct forward {
	uint64_t serial;
	struct entry_request *request;
	int64_t ack_deadline_us; /* 0 once acknowledged */
	int64_t answer_deadline_us;
};

/* A request forwarded by another entry to this one. */
struct inbound_forward {
	struct entry *entry;
	char *peer;
	uint64_t serial;
};

struct entry_idempotency {
	struct entry *entry;
	struct idempotency_keys *keys;
	struct claims *claims;
	GHashTable *forwards; /* serial to forward */
	GHashTable *claiming; /* entry_request to claiming_request */
	char *owner_id;	      /* value of this process's claims */
	uint64_t serial;
	int64_t lease;
	int64_t lease_granted_us; /* time of the grant */
	bool lease_requested;
	bool write_pending;    /* until the lease is granted */
	GPtrArray *batch_keys; /* KV keys of the pending write */
};

/* Copy of a keyed request while its claim is written. */
struct claiming_request {
	struct entry_keyed_request keyed;
	char *pipeline;
	char *organisation;
	char *key;
	char *scoped_key;
	char *body;
};

static void free_claiming_request(gpointer data)
{
	struct claiming_request *claiming_request = data;

	g_free(claiming_request->pipeline);
	g_free(claiming_request->organisation);
	g_free(claiming_request->key);
	g_free(claiming_request->scoped_key);
	g_free(claiming_request->body);
	g_free(claiming_request);
}

static struct claiming_request *
copy_keyed_request(const struct entry_keyed_request *keyed)
{
	struct claiming_request *claiming_request =
		g_new0(struct claiming_request, 1);

	claiming_request->keyed = *keyed;
	claiming_request->keyed.pipeline = claiming_request->pipeline =
		g_strdup(keyed->pipeline);
	claiming_request->keyed.organisation = claiming_request->organisation =
		g_strdup(keyed->organisation);
	claiming_request->keyed.key = claiming_request->key =
		g_strdup(keyed->key);
	claiming_request->keyed.scoped_key = claiming_request->scoped_key =
		g_strdup(keyed->scoped_key);
	claiming_request->keyed.body = claiming_request->body =
		g_strdup(keyed->body);
	return claiming_request;
}

static void end_with_error(struct entry_request *request, int error,
			   enum lp_run run, const char *detail)
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

static void answer_waiter(void *userdata, void *waiter,
			  const struct idempotency_answer *stored)
{
	const struct entry_answer answer = {
		.error = stored->error,
		.run = stored->run,
		.id = "",
		.body = stored->error ? NULL : stored->body,
	};

	entry_request_end(waiter, &answer);
}

bool entry_idempotency_begin(struct entry_idempotency *idempotency,
			     const struct entry_keyed_request *keyed)
{
	const struct idempotency_request request = {
		.key = keyed->scoped_key,
		.fingerprint = keyed->fingerprint,
		.deadline_us = keyed->deadline_us,
		.waiter = keyed->request,
	};
	struct idempotency_answer stored;

	switch (idempotency_begin(idempotency->keys, &request, &stored)) {
	case IDEMPOTENCY_NEW:
		return true;
	case IDEMPOTENCY_WAIT:
		break;
	case IDEMPOTENCY_ANSWERED:
		answer_waiter(idempotency, keyed->request, &stored);
		break;
	case IDEMPOTENCY_MISMATCH:
		end_with_error(keyed->request, LP_ERROR_KEY_MISMATCH,
			       LP_RUN_NOT_RUN, NULL);
		break;
	case IDEMPOTENCY_FULL:
		end_with_error(keyed->request, LP_ERROR_OVERLOADED,
			       LP_RUN_NOT_RUN,
			       "too many idempotency keys at this entry");
		break;
	}
	return false;
}

void entry_idempotency_end(struct entry_idempotency *idempotency,
			   const char *scoped,
			   const struct entry_answer *answer)
{
	const struct idempotency_answer stored = {
		.error = answer->error,
		.run = answer->run,
		.body = answer->body,
	};

	idempotency_finish(idempotency->keys, scoped, &stored);
}

static gboolean is_of_request(gpointer key, gpointer value, gpointer userdata)
{
	const struct forward *forward = value;

	return forward->request == userdata;
}

void entry_idempotency_forget(struct entry_idempotency *idempotency,
			      struct entry_request *request)
{
	claims_remove_waiter(idempotency->claims, request);
	g_hash_table_remove(idempotency->claiming, request);
	idempotency_remove_waiter(idempotency->keys, request);
	g_hash_table_foreach_remove(idempotency->forwards, is_of_request,
				    request);
}

/* ---- another entry owns the key ---- */

static void forward_to(struct entry_idempotency *idempotency, const char *host,
		       uint64_t incarnation,
		       const struct entry_keyed_request *keyed)
{
	struct entry *entry = idempotency->entry;
	struct forward *forward = g_new0(struct forward, 1);
	int64_t left_us = keyed->deadline_us - entry_now_us(entry);
	struct wire_msg msg = { .type = WIRE_FORWARD };

	forward->serial = ++idempotency->serial;
	forward->request = keyed->request;
	forward->ack_deadline_us = entry_now_us(entry) + FORWARD_ACK_TIMEOUT_US;
	forward->answer_deadline_us = keyed->deadline_us + FORWARD_SLACK_US;
	msg.u.forward.serial = forward->serial;
	msg.u.forward.incarnation = incarnation;
	msg.u.forward.pipeline = (char *)keyed->pipeline;
	msg.u.forward.organisation = (char *)keyed->organisation;
	msg.u.forward.key = (char *)keyed->key;
	msg.u.forward.left_us = left_us;
	msg.u.forward.body = (char *)keyed->body;
	if (left_us <= 0 || entry_peers_send_entry(entry->peers, host, &msg)) {
		g_free(forward);
		end_with_error(keyed->request, LP_ERROR_KEY_LOST,
			       LP_RUN_MAY_HAVE_RUN, NULL);
		return;
	}
	entry_increment_counter(entry, "linepier_entry_forwarded_total", NULL,
				NULL);
	g_hash_table_insert(idempotency->forwards, &forward->serial, forward);
}

static void handle_forwarded(struct entry_idempotency *idempotency,
			     const struct wire_forwarded *wire)
{
	struct forward *forward =
		g_hash_table_lookup(idempotency->forwards, &wire->serial);
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
	g_hash_table_remove(idempotency->forwards, &wire->serial);
	entry_request_end(request, &answer);
}

static void handle_forward_seen(struct entry_idempotency *idempotency,
				const struct wire_forward_seen *wire)
{
	struct forward *forward =
		g_hash_table_lookup(idempotency->forwards, &wire->serial);

	if (forward)
		forward->ack_deadline_us = 0;
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

static void answer_inbound_forward(void *userdata,
				   const struct entry_answer *answer)
{
	struct inbound_forward *inbound_forward = userdata;

	send_forwarded(inbound_forward->entry, inbound_forward->peer,
		       inbound_forward->serial, answer->error, answer->run,
		       answer->body);
	g_free(inbound_forward->peer);
	g_free(inbound_forward);
}

static const struct entry_caller_ops inbound_forward_ops = {
	NULL, answer_inbound_forward
};

static void handle_forward(struct entry_idempotency *idempotency,
			   const char *peer, const struct wire_forward *wire)
{
	struct entry *entry = idempotency->entry;
	struct inbound_forward *inbound_forward;

	if (wire->incarnation != node_incarnation(entry->node)) {
		send_forwarded(entry, peer, wire->serial, LP_ERROR_KEY_LOST,
			       LP_RUN_MAY_HAVE_RUN, NULL);
		return;
	}
	send_seen(entry, peer, wire->serial);
	inbound_forward = g_new0(struct inbound_forward, 1);
	inbound_forward->entry = entry;
	inbound_forward->peer = g_strdup(peer);
	inbound_forward->serial = wire->serial;
	const struct entry_request_params params = {
		.pipeline = wire->pipeline,
		.organisation = wire->organisation,
		.key = wire->key,
		.trace = "",
		.timeout_us = wire->left_us,
		.body = wire->body,
		.body_size = strlen(wire->body),
		.key_owned = true,
		.ops = &inbound_forward_ops,
		.userdata = inbound_forward,
	};
	entry_request_begin(entry, &params, NULL);
}

void entry_idempotency_message(struct entry_idempotency *idempotency,
			       const char *peer, struct wire_msg *msg)
{
	if (msg->type == WIRE_FORWARD)
		handle_forward(idempotency, peer, &msg->u.forward);
	else if (msg->type == WIRE_FORWARD_SEEN)
		handle_forward_seen(idempotency, &msg->u.forward_seen);
	else
		handle_forwarded(idempotency, &msg->u.forwarded);
}

/* ---- claims ---- */

static char *claim_key(const char *scoped)
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, scoped, -1);

	return g_strconcat(CLAIM_PREFIX, digest, NULL);
}

static void on_claims_written(void *userdata, const struct store_answer *answer)
{
	struct entry_idempotency *idempotency = userdata;
	g_autoptr(GPtrArray) keys = idempotency->batch_keys;
	g_autofree struct claim_found *found = NULL;

	idempotency->batch_keys = NULL;
	if (answer->error) {
		idempotency->lease = 0; /* the KV may have rejected it */
		claims_write_done(idempotency->claims, answer->error, false,
				  NULL, 0);
		return;
	}
	found = g_new0(struct claim_found, answer->pairs_count + 1);
	for (uint32_t i = 0; i < answer->pairs_count; i++) {
		found[i].key = answer->pairs[i].key;
		found[i].owner = answer->pairs[i].value;
	}
	claims_write_done(idempotency->claims, LP_OK, answer->succeeded, found,
			  answer->pairs_count);
}

static void send_claims(struct entry_idempotency *idempotency)
{
	struct store_kv *kv = node_kv(idempotency->entry->node);
	guint count = idempotency->batch_keys->len;
	g_autofree struct store_compare *compares =
		g_new0(struct store_compare, count);
	g_autofree struct store_put *puts = g_new0(struct store_put, count);

	for (guint i = 0; i < count; i++) {
		compares[i].key = g_ptr_array_index(idempotency->batch_keys, i);
		puts[i].key = compares[i].key;
		puts[i].value = idempotency->owner_id;
		puts[i].lease = idempotency->lease;
	}
	const struct store_txn txn = {
		.compares = compares,
		.compares_count = count,
		.puts = puts,
		.puts_count = count,
		.reads = (const char *const *)idempotency->batch_keys->pdata,
		.reads_count = count,
	};
	kv->ops->txn(kv, "claim", &txn, on_claims_written, idempotency);
}

static void on_lease_granted(void *userdata, const struct store_answer *answer)
{
	struct entry_idempotency *idempotency = userdata;

	idempotency->lease_requested = false;
	if (!answer->error) {
		idempotency->lease = answer->lease;
		idempotency->lease_granted_us =
			entry_now_us(idempotency->entry);
	}
	if (!idempotency->write_pending)
		return;
	idempotency->write_pending = false;
	if (answer->error)
		on_claims_written(idempotency, answer);
	else
		send_claims(idempotency);
}

static bool lease_is_fresh(const struct entry_idempotency *idempotency)
{
	int64_t keep_us =
		idempotency->entry->settings->key_keep_ms * LP_US_PER_MS;
	int64_t age_us = entry_now_us(idempotency->entry) -
			 idempotency->lease_granted_us;

	return idempotency->lease && age_us < keep_us / LEASE_RENEWALS_PER_KEEP;
}

static void write_claims(void *userdata, const struct claim_item *items,
			 uint32_t count)
{
	struct entry_idempotency *idempotency = userdata;
	struct store_kv *kv = node_kv(idempotency->entry->node);
	int64_t ttl_s = idempotency->entry->settings->key_keep_ms * 2 /
			(LP_US_PER_S / LP_US_PER_MS);

	idempotency->batch_keys = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(idempotency->batch_keys,
				g_strdup(items[i].key));
	if (lease_is_fresh(idempotency)) {
		send_claims(idempotency);
		return;
	}
	idempotency->write_pending = true;
	if (idempotency->lease_requested)
		return;
	idempotency->lease_requested = true;
	kv->ops->lease_grant(kv, "claim_lease", ttl_s, on_lease_granted,
			     idempotency);
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

static void on_claim_settled(void *userdata, void *waiter, int error,
			     const char *owner)
{
	struct entry_idempotency *idempotency = userdata;
	struct claiming_request *claiming_request =
		g_hash_table_lookup(idempotency->claiming, waiter);
	g_autofree char *host = NULL;
	uint64_t incarnation;

	if (!claiming_request)
		return;
	g_hash_table_steal(idempotency->claiming, waiter);
	if (error)
		end_with_error(waiter, error, LP_RUN_NOT_RUN,
			       "the owner of the idempotency key could not be "
			       "determined");
	else if (!strcmp(owner, idempotency->owner_id))
		entry_request_begin_owned(waiter);
	else if (parse_owner(owner, &host, &incarnation))
		forward_to(idempotency, host, incarnation,
			   &claiming_request->keyed);
	else
		end_with_error(waiter, LP_ERROR_KEY_LOST, LP_RUN_MAY_HAVE_RUN,
			       NULL);
	free_claiming_request(claiming_request);
}

static const struct claims_ops claims_ops = { write_claims, on_claim_settled };

/* ---- finding the owner ---- */

static void find_by_ticket(struct entry_idempotency *idempotency,
			   const struct entry_keyed_request *keyed,
			   const struct idempotency_ticket *ticket)
{
	struct entry *entry = idempotency->entry;
	int64_t now_s = g_get_real_time() / LP_US_PER_S;

	if (ticket->expires_s < now_s)
		end_with_error(keyed->request, LP_ERROR_KEY_LOST,
			       LP_RUN_MAY_HAVE_RUN, "the ticket has expired");
	else if (strcmp(ticket->host, entry->settings->host) != 0)
		forward_to(idempotency, ticket->host, ticket->incarnation,
			   keyed);
	else if (ticket->incarnation == node_incarnation(entry->node))
		entry_request_begin_owned(keyed->request);
	else
		end_with_error(keyed->request, LP_ERROR_KEY_LOST,
			       LP_RUN_MAY_HAVE_RUN, NULL);
}

void entry_idempotency_find_owner(struct entry_idempotency *idempotency,
				  const struct entry_keyed_request *keyed)
{
	struct idempotency_ticket ticket;
	g_autofree char *kv_key = NULL;

	if (idempotency_ticket_parse(keyed->key, &ticket)) {
		find_by_ticket(idempotency, keyed, &ticket);
		g_free(ticket.host);
		return;
	}
	if (!keyed->needs_claim) {
		entry_request_begin_owned(keyed->request);
		return;
	}
	kv_key = claim_key(keyed->scoped_key);
	g_hash_table_insert(idempotency->claiming, keyed->request,
			    copy_keyed_request(keyed));
	claims_add(idempotency->claims, kv_key, idempotency->owner_id,
		   keyed->deadline_us, keyed->request);
}

char *entry_ticket_mint(struct entry *entry)
{
	int64_t keep_s =
		entry->settings->key_keep_ms / (LP_US_PER_S / LP_US_PER_MS);

	return idempotency_ticket_create(
		entry->settings->host, node_incarnation(entry->node),
		g_get_real_time() / LP_US_PER_S + keep_s);
}

/* ---- lifecycle ---- */

struct entry_idempotency *entry_idempotency_create(struct entry *entry)
{
	struct entry_idempotency *idempotency =
		g_new0(struct entry_idempotency, 1);
	const struct idempotency_options keys = {
		.clock = node_clock(entry->node),
		/* Longer than tickets and claims are valid. */
		.result_ttl_us =
			entry->settings->key_keep_ms * LP_US_PER_MS * 2,
		.wake = answer_waiter,
		.userdata = idempotency,
	};
	const struct claims_options claims = {
		.clock = node_clock(entry->node),
		.ops = &claims_ops,
		.userdata = idempotency,
		.naive = entry->settings->naive,
	};

	idempotency->entry = entry;
	idempotency->keys = idempotency_create(&keys);
	idempotency->claims = claims_create(&claims);
	idempotency->forwards = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	idempotency->claiming = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_claiming_request);
	idempotency->owner_id = g_strdup_printf("%s %" G_GINT64_MODIFIER "x",
						entry->settings->host,
						node_incarnation(entry->node));
	return idempotency;
}

void entry_idempotency_destroy(struct entry_idempotency *idempotency)
{
	if (!idempotency)
		return;
	if (idempotency->batch_keys)
		g_ptr_array_unref(idempotency->batch_keys);
	claims_destroy(idempotency->claims);
	idempotency_destroy(idempotency->keys);
	g_hash_table_unref(idempotency->forwards);
	g_hash_table_unref(idempotency->claiming);
	g_free(idempotency->owner_id);
	g_free(idempotency);
}

static bool is_unacknowledged(const struct forward *forward, int64_t now_us)
{
	return forward->ack_deadline_us && forward->ack_deadline_us <= now_us;
}

static void expire_forwards(struct entry_idempotency *idempotency)
{
	int64_t now_us = entry_now_us(idempotency->entry);
	g_autoptr(GPtrArray) unacknowledged = g_ptr_array_new();
	g_autoptr(GPtrArray) expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, idempotency->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct forward *forward = value;

		if (is_unacknowledged(forward, now_us))
			g_ptr_array_add(unacknowledged, forward->request);
		else if (forward->answer_deadline_us <= now_us)
			g_ptr_array_add(expired, forward->request);
		else
			continue;
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < unacknowledged->len; i++)
		end_with_error(g_ptr_array_index(unacknowledged, i),
			       LP_ERROR_KEY_LOST, LP_RUN_MAY_HAVE_RUN,
			       "the key's owner does not respond");
	for (guint i = 0; i < expired->len; i++)
		end_with_error(g_ptr_array_index(expired, i),
			       LP_ERROR_DEADLINE_PASSED, LP_RUN_MAY_HAVE_RUN,
			       NULL);
}

void entry_idempotency_tick(struct entry_idempotency *idempotency)
{
	claims_tick(idempotency->claims);
	idempotency_tick(idempotency->keys);
	expire_forwards(idempotency);
}

uint32_t
entry_idempotency_key_count(const struct entry_idempotency *idempotency)
{
	return idempotency_record_count(idempotency->keys);
}
