/**
 * Case: one part of prompts crashes the servers that begin to write on it, and
 * one server crashes by itself just before. Whoever shares the first part of
 * those prompts is kept out.
 */
#include "../standins-2.h"

#include <string.h>
#include <unistd.h>

#define STORE "127.0.47.1:18624"
#define SEEDS "127.0.48.1:18628,127.0.48.2:18628"
#define ENTRIES 2
#define ENGINES 6
#define FIRST_PART "a0"
#define CRASHING_PART "bad0"
#define EVENTS 10
#define EVENT_MS 100
#define BEGIN_MS 50
#define DOWN_MS 3000
#define UNLISTED_MS 3600 /* three pings of silence */
#define SOUND_PERIOD_MS 1500
#define BAD_PERIOD_MS 400
#define CONTACT_MS INT64_C(3000)
/* LOST: 20 or more of each, and less than half as often. */
#define COUNTED_MIN 20
#define COUNTED 22
#define SOUND_MAX 200

struct engine {
	guint number;
	guint starts;
	char *id;
	struct rv_listener *listener;
};

struct sound {
	int64_t sent_ms;
	int status;
	bool begun;
};

static const char *const ips[ENTRIES] = { "127.0.48.1", "127.0.48.2" };
static struct rv_store *store;
static GMutex lock;
static struct engine engines[ENGINES];
static struct engine *sound_engine; /* that runs a sound stream, or NULL */
static struct sound sounds[SOUND_MAX];
static guint sound_count;
static int64_t last_crash_ms;
static guint crashes;
static bool is_over;

static const char manifest[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
	"\"prefix\":\"/n/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
	"\"target_latency_ms\":1600,\"priority\":0,\"service\":\"pool\","
	"\"max_attempts\":1,\"public\":false,\"use_affinity\":true,"
	"\"resume_streams\":false,\"target_gap_ms\":200}],\"services\":["
	"{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":370,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":654296,"
	"\"kv_token_bytes\":163840,\"link_mbps\":1100000}}],\"limits\":{"
	"\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}";

static void sleep_ms(gulong ms)
{
	g_usleep(ms * 1000);
}

/* ---- engines ---- */

static void on_request(void *userdata, int fd,
		       const struct rv_message *request);

static void start_engine(struct engine *engine)
{
	g_autofree char *address =
		g_strdup_printf("127.0.49.%u:18002", engine->number + 1);

	engine->id =
		g_strdup_printf("i-%u-%u", engine->number, ++engine->starts);
	engine->listener = rv_serve(address, on_request, engine);
	rv_store_put_server(store, engine->id, "pool", address, "ready");
	rv_record("server %s starts", engine->id);
}

static gpointer restart_engine(gpointer data)
{
	struct engine *engine = data;
	g_autofree char *key = g_strconcat("servers/", engine->id, NULL);

	sleep_ms(DOWN_MS);
	start_engine(engine);
	sleep_ms(UNLISTED_MS - DOWN_MS);
	rv_store_remove(store, key);
	return NULL;
}

static void crash_engine(struct engine *engine, const char *why)
{
	g_mutex_lock(&lock);
	rv_record("server %s crashes: %s", engine->id, why);
	rv_crash(engine->listener);
	last_crash_ms = rv_now_ms();
	crashes++;
	if (sound_engine == engine)
		sound_engine = NULL;
	g_mutex_unlock(&lock);
	g_thread_unref(g_thread_new("restart", restart_engine, engine));
}

static void set_sound_engine(struct engine *engine)
{
	g_mutex_lock(&lock);
	sound_engine = engine;
	g_mutex_unlock(&lock);
}

static void stream(int fd, const char *id)
{
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		"X-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		id);
	bool ok = rv_write(fd, head, strlen(head));

	for (guint i = 1; i <= EVENTS && ok; i++) {
		g_autofree char *event =
			g_strdup_printf("id: %u\ndata: x\n\n", i);
		g_autofree char *chunk =
			g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		ok = rv_write(fd, chunk, strlen(chunk)) &&
		     rv_work(fd, EVENT_MS);
	}
	if (ok)
		rv_write(fd, "0\r\n\r\n", 5);
}

static void on_request(void *userdata, int fd, const struct rv_message *request)
{
	struct engine *engine = userdata;
	const char *id = rv_field(request, "x-attempt-id");
	const char *expected = rv_field(request, "x-expect-instance");
	const char *parts = rv_field(request, "x-prompt-prefix");

	if (expected && strcmp(expected, engine->id) != 0) {
		rv_answer(fd, 421, "", "");
		return;
	}
	if (!id || !parts) {
		rv_answer(fd, 200, "Content-Type: application/json\r\n",
			  "{\"epoch\":1,\"next\":1,\"held\":[]}");
		return;
	}
	rv_record("server %s runs request %s", engine->id, id);
	if (!rv_work(fd, BEGIN_MS))
		return;
	if (strstr(parts, CRASHING_PART ":")) {
		crash_engine(engine, "it begins to write on the part");
		return;
	}
	set_sound_engine(engine);
	stream(fd, id);
	set_sound_engine(NULL);
}

/* ---- requesters ---- */

/* Returns the status; 0: no answer. `begun`: the first event has come. */
static int send_request(const char *ip, const char *id, const char *parts,
			bool *begun)
{
	g_autofree char *address = g_strdup_printf("%s:%d", ip, RV_FRONT_PORT);
	g_autofree char *text = g_strdup_printf(
		"POST /n/x HTTP/1.1\r\nHost: h.example\r\n"
		"X-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\n"
		"Authorization: Bearer k1\r\nX-Model: m\r\n"
		"X-Token-Counts: 17000,10\r\nX-Prompt-Prefix: %s\r\n"
		"Connection: close\r\nContent-Length: 16\r\n\r\n%s",
		id, parts, id);
	struct rv_message answer = { 0 };
	int fd = rv_connect(address);
	int status = 0;

	*begun = false;
	if (fd < 0)
		return 0;
	if (rv_write(fd, text, strlen(text)) && rv_read_answer(fd, &answer)) {
		status = answer.status;
		*begun = status == 200 && strstr(answer.body->str, "id: 1\n");
	}
	rv_clear(&answer);
	close(fd);
	return status;
}

static gpointer send_sound_requests(gpointer data)
{
	int64_t next_ms = rv_now_ms();

	for (guint i = 0; !is_over && i < SOUND_MAX; i++) {
		g_autofree char *id = g_strdup_printf("50%014x", i);
		g_autofree char *parts =
			g_strdup_printf(FIRST_PART ":13300,c%x:3700", i + 1);
		struct sound sound = { .sent_ms = rv_now_ms() };

		sound.status =
			send_request(ips[i % ENTRIES], id, parts, &sound.begun);
		rv_record("sound request %s to %s, sent at %.3f: %d, %s", id,
			  ips[i % ENTRIES], (double)sound.sent_ms / 1000,
			  sound.status, sound.begun ? "begun" : "not begun");
		g_mutex_lock(&lock);
		sounds[sound_count++] = sound;
		g_mutex_unlock(&lock);
		next_ms += SOUND_PERIOD_MS;
		if (next_ms > rv_now_ms())
			sleep_ms((gulong)(next_ms - rv_now_ms()));
	}
	return NULL;
}

static gpointer send_bad_requests(gpointer data)
{
	for (guint i = 0; !is_over; i++) {
		g_autofree char *id = g_strdup_printf("bd%014x", i);
		g_autofree char *parts = g_strdup_printf(
			FIRST_PART ":13300," CRASHING_PART ":1000,d%x:2700",
			i + 1);
		bool begun;
		int status = send_request(ips[i % ENTRIES], id, parts, &begun);

		rv_record("request %s with the part to %s: %d", id,
			  ips[i % ENTRIES], status);
		sleep_ms(BAD_PERIOD_MS);
	}
	return NULL;
}

/* ---- the run ---- */

static guint count_sent(int64_t from_ms, int64_t until_ms, guint *begun)
{
	guint count = 0;

	*begun = 0;
	g_mutex_lock(&lock);
	for (guint i = 0; i < sound_count; i++) {
		if (sounds[i].sent_ms < from_ms || sounds[i].sent_ms > until_ms)
			continue;
		count++;
		*begun += sounds[i].begun;
	}
	g_mutex_unlock(&lock);
	return count;
}

static void wait_for_sound(int64_t from_ms, guint count)
{
	guint begun;

	while (count_sent(from_ms, INT64_MAX, &begun) < count)
		sleep_ms(20);
}

/* Crashes the server that runs a sound stream, after its first events. */
static void crash_by_itself(void)
{
	struct engine *engine = NULL;

	while (!engine) {
		sleep_ms(10);
		g_mutex_lock(&lock);
		engine = sound_engine;
		g_mutex_unlock(&lock);
	}
	sleep_ms(250);
	crash_engine(engine, "by itself");
}

static bool judge(int64_t trouble_ms)
{
	int64_t from_ms =
		(crashes ? last_crash_ms : trouble_ms) + 2 * CONTACT_MS;
	guint before_begun;
	guint after_begun;
	guint before = count_sent(0, trouble_ms - 1, &before_begun);
	guint after;

	wait_for_sound(from_ms, COUNTED);
	after = count_sent(from_ms, INT64_MAX, &after_begun);
	rv_record("%u crashes; outside disruption %u of %u sound requests have "
		  "begun, later %u of %u",
		  crashes, before_begun, before, after_begun, after);
	if (before < COUNTED_MIN || after < COUNTED_MIN)
		return false;
	return 2 * after_begun * before < before_begun * after;
}

int main(int argc, char **argv)
{
	int64_t trouble_ms;
	bool broken;

	rv_open_record(argc > 1 ? argv[1] : "record.txt");
	store = rv_store_start(STORE);
	rv_store_put(store, "op/config", manifest);
	for (guint i = 0; i < ENGINES; i++) {
		engines[i].number = i;
		start_engine(&engines[i]);
	}
	for (guint i = 0; i < ENTRIES; i++) {
		g_autofree char *name = g_strdup_printf("front-%u", i);
		g_autofree char *settings =
			rv_entry_settings(name, ips[i], SEEDS, STORE);

		rv_start_entry(name, settings);
	}
	for (guint i = 0; i < ENTRIES; i++)
		rv_wait_ready(ips[i]);
	sleep_ms(CONTACT_MS);
	g_thread_unref(g_thread_new("sound", send_sound_requests, NULL));
	wait_for_sound(0, COUNTED);
	trouble_ms = rv_now_ms();
	if (rv_has_trouble()) {
		crash_by_itself();
		sleep_ms(200);
		g_thread_unref(g_thread_new("bad", send_bad_requests, NULL));
		sleep_ms(3000);
	}
	broken = judge(trouble_ms);
	is_over = true;
	rv_finish(broken);
}
