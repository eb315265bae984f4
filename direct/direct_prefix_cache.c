#include "direct/direct_prefix_cache.h"

#include "direct/direct_fetch.h"

/* What is not told by then has been learnt by placing. */
#define ANSWER_TIMEOUT_US (1 * LP_US_PER_S)
/* An engine is asked once in this time at the most. */
#define ASK_EACH_US (10 * LP_US_PER_S)

struct question {
	struct direct_prefix_cache *memory;
	struct pool_upstream *engine; /* held */
	int64_t asked_us;
	struct direct_fetch *fetch;
};

struct direct_prefix_cache {
	struct direct_prefix_cache_options options;
	GHashTable *questions; /* of struct question */
};

static int64_t now(const struct direct_prefix_cache *memory)
{
	return lp_now_us(memory->options.clock);
}

static void log_answer(const struct question *question, const char *outcome,
		       uint32_t parts)
{
	const struct direct_prefix_cache *memory = question->memory;
	struct lp_event_log *log = memory->options.log;

	if (!lp_event_begin(log, "memory_asked", NULL))
		return;
	lp_event_text(log, "service", question->engine->entry.service);
	lp_event_text(log, "upstream", question->engine->entry.id);
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "parts", parts);
	lp_event_int(log, "took_us", now(memory) - question->asked_us);
	lp_event_end(log);
}

static void free_question(gpointer data)
{
	struct question *question = data;

	if (question->fetch)
		direct_fetch_cancel(question->fetch);
	pool_release(question->engine);
	g_free(question);
}

/* Only the life that was asked, and is there still, has told its own. */
static bool is_told(const struct question *question,
		    const struct http_fetch_answer *answer, GArray *parts)
{
	const struct direct_prefix_cache *memory = question->memory;

	return !answer->error && answer->status == 200 &&
	       memory->options.codec->read_prefix_cache(answer->body,
							answer->size, parts) &&
	       pool_find_life(memory->options.pool, question->engine->life) ==
		       question->engine;
}

static void on_told(void *userdata, const struct http_fetch_answer *answer,
		    const struct direct_reply *reply)
{
	struct question *question = userdata;
	struct direct_prefix_cache *memory = question->memory;
	g_autoptr(GArray) parts =
		g_array_new(FALSE, FALSE, sizeof(struct pool_part));
	bool told = is_told(question, answer, parts);

	question->fetch = NULL;
	if (told)
		pool_set_memory(memory->options.pool, question->engine,
				(const struct pool_part *)parts->data,
				parts->len);
	log_answer(question, told ? "told" : "not_told", parts->len);
	g_hash_table_remove(memory->questions, question);
}

static void ask_engine(struct direct_prefix_cache *memory,
		       struct pool_upstream *engine)
{
	const struct direct_prefix_cache_options *options = &memory->options;
	struct question *question = g_new0(struct question, 1);

	engine->memory_asked_us = now(memory);
	question->memory = memory;
	question->engine = pool_hold(engine);
	question->asked_us = now(memory);
	question->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.codec = options->codec,
		.notices = options->notices,
		.upstream = engine,
		.method = "GET",
		.target = options->codec->prefix_cache_target,
		.timeout_us = ANSWER_TIMEOUT_US,
		.done = on_told,
		.userdata = question,
	});
	if (question->fetch)
		g_hash_table_add(memory->questions, question);
	else
		free_question(question);
}

static bool is_to_be_asked(const struct direct_prefix_cache *memory,
			   const struct pool_upstream *engine)
{
	/* One that takes only so many requests gets those of callers. */
	return pool_usable(memory->options.pool, engine) &&
	       !engine->limit.named &&
	       (!engine->memory_asked_us ||
		now(memory) - engine->memory_asked_us >= ASK_EACH_US);
}

void direct_prefix_cache_query(struct direct_prefix_cache *memory,
			       const char *service)
{
	const GPtrArray *engines =
		pool_of_service(memory->options.pool, service);

	for (guint i = 0; engines && i < engines->len; i++) {
		struct pool_upstream *engine = g_ptr_array_index(engines, i);

		if (is_to_be_asked(memory, engine))
			ask_engine(memory, engine);
	}
}

struct direct_prefix_cache *
direct_prefix_cache_create(const struct direct_prefix_cache_options *options)
{
	struct direct_prefix_cache *memory =
		g_new0(struct direct_prefix_cache, 1);

	memory->options = *options;
	memory->questions =
		g_hash_table_new_full(NULL, NULL, free_question, NULL);
	return memory;
}

void direct_prefix_cache_destroy(struct direct_prefix_cache *memory)
{
	if (!memory)
		return;
	g_hash_table_unref(memory->questions);
	g_free(memory);
}
