#include "wire/wire_msg.h"

#include <string.h>

#define HEADER_SIZE 8 /* keeps the GVariant aligned */
#define MAGIC_0 'L'
#define MAGIC_1 'P'

#define ID_TYPE "(tuqq)"
#define LOAD_TYPE "(xttuuuuuub)"

static const char *const types[] = {
	[WIRE_HELLO] = "(ttu)",
	[WIRE_BEAT] = LOAD_TYPE,
	[WIRE_CALL] = "(" ID_TYPE "ttxxx(su)(bb)(sss)(ss)s)",
	[WIRE_CHUNK] = "(" ID_TYPE "uus)",
	[WIRE_RESULT] = "(" ID_TYPE "iyuuuuus" LOAD_TYPE ")",
	[WIRE_QUERY] = "(" ID_TYPE "ytx)",
	[WIRE_STATE] = "(" ID_TYPE "ty)",
	[WIRE_CONFIG_GET] = "(t)",
	[WIRE_CONFIG_BODY] = "(tay)",
	[WIRE_FORWARD] = "(ttsssxs)",
	[WIRE_FORWARD_SEEN] = "(t)",
	[WIRE_FORWARDED] = "(tiys)",
	[WIRE_QUOTA_ASK] = "(su)",
	[WIRE_QUOTA_GRANT] = "(suu)",
};

static GVariant *pack_id(const struct lp_call_id *id)
{
	return g_variant_new(ID_TYPE, id->entry, id->serial, id->stage,
			     id->attempt);
}

static void unpack_id(GVariant *value, struct lp_call_id *id)
{
	g_variant_get(value, ID_TYPE, &id->entry, &id->serial, &id->stage,
		      &id->attempt);
	g_variant_unref(value);
}

static GVariant *pack_load(const struct wire_load *load)
{
	return g_variant_new(LOAD_TYPE, load->agent_time_us, load->incarnation,
			     load->revision, load->queued, load->running,
			     load->limit, load->wait_us, load->run_us,
			     load->kv_age_ms, (gboolean)load->leaving);
}

static void unpack_load(GVariant *value, struct wire_load *load)
{
	gboolean leaving;

	g_variant_get(value, LOAD_TYPE, &load->agent_time_us,
		      &load->incarnation, &load->revision, &load->queued,
		      &load->running, &load->limit, &load->wait_us,
		      &load->run_us, &load->kv_age_ms, &leaving);
	load->leaving = leaving;
	g_variant_unref(value);
}

static GVariant *pack_call(const struct wire_call *call)
{
	return g_variant_new("(@" ID_TYPE "ttxxx(su)(bb)(sss)(ss)s)",
			     pack_id(&call->id), call->incarnation,
			     call->revision, call->echo_us, call->held_us,
			     call->left_us, call->organisation, call->weight,
			     (gboolean)call->repeatable, (gboolean)call->stream,
			     call->pipeline, call->stage, call->key, call->path,
			     call->body, call->trace);
}

static void unpack_call(GVariant *value, struct wire_call *call)
{
	GVariant *id;
	gboolean repeatable;
	gboolean stream;

	g_variant_get(value, "(@" ID_TYPE "ttxxx(su)(bb)(sss)(ss)s)", &id,
		      &call->incarnation, &call->revision, &call->echo_us,
		      &call->held_us, &call->left_us, &call->organisation,
		      &call->weight, &repeatable, &stream, &call->pipeline,
		      &call->stage, &call->key, &call->path, &call->body,
		      &call->trace);
	call->repeatable = repeatable;
	call->stream = stream;
	unpack_id(id, &call->id);
}

static GVariant *pack_result(const struct wire_result *result)
{
	return g_variant_new("(@" ID_TYPE "iyuuuuus@" LOAD_TYPE ")",
			     pack_id(&result->id), result->error, result->run,
			     result->chunks, result->queue_us, result->run_us,
			     result->tokens, result->retry_us, result->body,
			     pack_load(&result->load));
}

static void unpack_result(GVariant *value, struct wire_result *result)
{
	GVariant *id;
	GVariant *load;

	g_variant_get(value, "(@" ID_TYPE "iyuuuuus@" LOAD_TYPE ")", &id,
		      &result->error, &result->run, &result->chunks,
		      &result->queue_us, &result->run_us, &result->tokens,
		      &result->retry_us, &result->body, &load);
	unpack_id(id, &result->id);
	unpack_load(load, &result->load);
}

static GVariant *pack_bytes(GBytes *bytes)
{
	return g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING, bytes, TRUE);
}

static GVariant *pack_forward(const struct wire_forward *forward)
{
	return g_variant_new("(ttsssxs)", forward->serial, forward->incarnation,
			     forward->pipeline, forward->organisation,
			     forward->key, forward->left_us, forward->body);
}

static GVariant *pack(const struct wire_msg *msg)
{
	switch (msg->type) {
	case WIRE_HELLO:
		return g_variant_new("(ttu)", msg->u.hello.incarnation,
				     msg->u.hello.revision,
				     msg->u.hello.kv_age_ms);
	case WIRE_BEAT:
		return pack_load(&msg->u.beat);
	case WIRE_CALL:
		return pack_call(&msg->u.call);
	case WIRE_CHUNK:
		return g_variant_new("(@" ID_TYPE "uus)",
				     pack_id(&msg->u.chunk.id),
				     msg->u.chunk.seq, msg->u.chunk.tokens,
				     msg->u.chunk.text);
	case WIRE_RESULT:
		return pack_result(&msg->u.result);
	case WIRE_QUERY:
		return g_variant_new(
			"(@" ID_TYPE "ytx)", pack_id(&msg->u.query.id),
			msg->u.query.query, msg->u.query.incarnation,
			msg->u.query.sent_us);
	case WIRE_STATE:
		return g_variant_new(
			"(@" ID_TYPE "ty)", pack_id(&msg->u.state.id),
			msg->u.state.incarnation, msg->u.state.state);
	case WIRE_CONFIG_GET:
		return g_variant_new("(t)", msg->u.config_get.have);
	case WIRE_CONFIG_BODY:
		return g_variant_new("(t@ay)", msg->u.config_body.revision,
				     pack_bytes(msg->u.config_body.packed));
	case WIRE_FORWARD:
		return pack_forward(&msg->u.forward);
	case WIRE_FORWARD_SEEN:
		return g_variant_new("(t)", msg->u.forward_seen.serial);
	case WIRE_FORWARDED:
		return g_variant_new("(tiys)", msg->u.forwarded.serial,
				     msg->u.forwarded.error,
				     msg->u.forwarded.run,
				     msg->u.forwarded.body);
	case WIRE_QUOTA_ASK:
		return g_variant_new("(su)", msg->u.quota_ask.organisation,
				     msg->u.quota_ask.demand_per_s);
	case WIRE_QUOTA_GRANT:
		return g_variant_new("(suu)", msg->u.quota_grant.organisation,
				     msg->u.quota_grant.rate_per_s,
				     msg->u.quota_grant.lease_ms);
	}
	g_assert_not_reached();
}

GBytes *wire_msg_encode(const struct wire_msg *msg)
{
	GVariant *value = g_variant_ref_sink(pack(msg));
	size_t size = g_variant_get_size(value);
	uint8_t *data = g_malloc0(HEADER_SIZE + size);

	data[0] = MAGIC_0;
	data[1] = MAGIC_1;
	data[2] = WIRE_VERSION;
	data[3] = (uint8_t)msg->type;
	g_variant_store(value, data + HEADER_SIZE);
	g_variant_unref(value);
	return g_bytes_new_take(data, HEADER_SIZE + size);
}

static void unpack_body(GVariant *value, struct wire_config_body *body)
{
	GVariant *bytes;

	g_variant_get(value, "(t@ay)", &body->revision, &bytes);
	body->packed = g_variant_get_data_as_bytes(bytes);
	g_variant_unref(bytes);
}

static void unpack(GVariant *value, struct wire_msg *out)
{
	GVariant *id;

	switch (out->type) {
	case WIRE_HELLO:
		g_variant_get(value, "(ttu)", &out->u.hello.incarnation,
			      &out->u.hello.revision, &out->u.hello.kv_age_ms);
		break;
	case WIRE_BEAT:
		unpack_load(g_variant_ref(value), &out->u.beat);
		break;
	case WIRE_CALL:
		unpack_call(value, &out->u.call);
		break;
	case WIRE_CHUNK:
		g_variant_get(value, "(@" ID_TYPE "uus)", &id,
			      &out->u.chunk.seq, &out->u.chunk.tokens,
			      &out->u.chunk.text);
		unpack_id(id, &out->u.chunk.id);
		break;
	case WIRE_RESULT:
		unpack_result(value, &out->u.result);
		break;
	case WIRE_QUERY:
		g_variant_get(value, "(@" ID_TYPE "ytx)", &id,
			      &out->u.query.query, &out->u.query.incarnation,
			      &out->u.query.sent_us);
		unpack_id(id, &out->u.query.id);
		break;
	case WIRE_STATE:
		g_variant_get(value, "(@" ID_TYPE "ty)", &id,
			      &out->u.state.incarnation, &out->u.state.state);
		unpack_id(id, &out->u.state.id);
		break;
	case WIRE_CONFIG_GET:
		g_variant_get(value, "(t)", &out->u.config_get.have);
		break;
	case WIRE_CONFIG_BODY:
		unpack_body(value, &out->u.config_body);
		break;
	case WIRE_FORWARD:
		g_variant_get(value, "(ttsssxs)", &out->u.forward.serial,
			      &out->u.forward.incarnation,
			      &out->u.forward.pipeline,
			      &out->u.forward.organisation, &out->u.forward.key,
			      &out->u.forward.left_us, &out->u.forward.body);
		break;
	case WIRE_FORWARD_SEEN:
		g_variant_get(value, "(t)", &out->u.forward_seen.serial);
		break;
	case WIRE_FORWARDED:
		g_variant_get(value, "(tiys)", &out->u.forwarded.serial,
			      &out->u.forwarded.error, &out->u.forwarded.run,
			      &out->u.forwarded.body);
		break;
	case WIRE_QUOTA_ASK:
		g_variant_get(value, "(su)", &out->u.quota_ask.organisation,
			      &out->u.quota_ask.demand_per_s);
		break;
	case WIRE_QUOTA_GRANT:
		g_variant_get(value, "(suu)", &out->u.quota_grant.organisation,
			      &out->u.quota_grant.rate_per_s,
			      &out->u.quota_grant.lease_ms);
		break;
	}
}

static const GVariantType *cached_type(enum wire_type type)
{
	static GVariantType *cache[WIRE_TYPE_LAST + 1];

	if (!cache[type])
		cache[type] = g_variant_type_new(types[type]);
	return cache[type];
}

int wire_msg_decode(const void *data, size_t size, struct wire_msg *out)
{
	const uint8_t *header = data;
	GBytes *bytes;
	GVariant *value;
	int error = LP_ERROR_PROTOCOL;

	memset(out, 0, sizeof(*out));
	if (size < HEADER_SIZE || size > WIRE_FRAME_MAX ||
	    header[0] != MAGIC_0 || header[1] != MAGIC_1 ||
	    header[2] != WIRE_VERSION || header[3] < WIRE_HELLO ||
	    header[3] > WIRE_TYPE_LAST)
		return LP_ERROR_PROTOCOL;
	out->type = header[3];
	bytes = g_bytes_new(header + HEADER_SIZE, size - HEADER_SIZE);
	value = g_variant_new_from_bytes(cached_type(out->type), bytes, FALSE);
	g_variant_ref_sink(value);
	if (g_variant_is_normal_form(value)) {
		unpack(value, out);
		error = LP_OK;
	}
	g_variant_unref(value);
	g_bytes_unref(bytes);
	return error;
}

static void clear_call(struct wire_call *call)
{
	g_free(call->organisation);
	g_free(call->pipeline);
	g_free(call->stage);
	g_free(call->key);
	g_free(call->path);
	g_free(call->body);
	g_free(call->trace);
}

static void clear_forward(struct wire_forward *forward)
{
	g_free(forward->pipeline);
	g_free(forward->organisation);
	g_free(forward->key);
	g_free(forward->body);
}

void wire_msg_clear(struct wire_msg *msg)
{
	switch (msg->type) {
	case WIRE_CALL:
		clear_call(&msg->u.call);
		break;
	case WIRE_CHUNK:
		g_free(msg->u.chunk.text);
		break;
	case WIRE_RESULT:
		g_free(msg->u.result.body);
		break;
	case WIRE_CONFIG_BODY:
		g_bytes_unref(msg->u.config_body.packed);
		break;
	case WIRE_FORWARD:
		clear_forward(&msg->u.forward);
		break;
	case WIRE_FORWARDED:
		g_free(msg->u.forwarded.body);
		break;
	case WIRE_QUOTA_ASK:
		g_free(msg->u.quota_ask.organisation);
		break;
	case WIRE_QUOTA_GRANT:
		g_free(msg->u.quota_grant.organisation);
		break;
	case WIRE_HELLO:
	case WIRE_BEAT:
	case WIRE_QUERY:
	case WIRE_STATE:
	case WIRE_CONFIG_GET:
	case WIRE_FORWARD_SEEN:
		break;
	}
	memset(msg, 0, sizeof(*msg));
}
