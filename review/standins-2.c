#include "standins-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_PORT 18621
#define CONTROL_PORT 18628
#define PEERS_PORT 17740
#define READY_LIMIT_MS 15000
#define EXIT_UNRUN 2
#define ENTRIES_MAX 32

static FILE *record;
static GMutex record_lock;
static char *folder;
static GPid entries[ENTRIES_MAX];
static volatile sig_atomic_t entry_count;

int64_t rv_now_ms(void)
{
	static int64_t start_us;
	int64_t now_us = g_get_monotonic_time();

	if (!start_us)
		start_us = now_us;
	return (now_us - start_us) / 1000;
}

void rv_open_record(const char *path)
{
	record = fopen(path, "w");
	if (!record)
		exit(EXIT_UNRUN);
	rv_now_ms();
}

void rv_record(const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_mutex_lock(&record_lock);
	fprintf(record, "%7.3f %s\n", (double)rv_now_ms() / 1000, text);
	fflush(record);
	g_mutex_unlock(&record_lock);
	g_free(text);
}

bool rv_has_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

/* ---- sockets ---- */

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	g_auto(GStrv) parts = g_strsplit(text, ":", 2);

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (!parts[0] || !parts[1] ||
	    inet_pton(AF_INET, parts[0], &out->sin_addr) != 1)
		return false;
	out->sin_port = htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
	return true;
}

bool rv_write(int fd, const char *bytes, gsize size)
{
	gsize done = 0;

	while (done < size) {
		ssize_t sent =
			send(fd, bytes + done, size - done, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		done += (gsize)sent;
	}
	return true;
}

int rv_connect(const char *address)
{
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!parse_address(address, &to) ||
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool read_byte(int fd, char *out)
{
	ssize_t got;

	do
		got = recv(fd, out, 1, 0);
	while (got < 0 && errno == EINTR);
	return got == 1;
}

/* Reads a line without its end. */
static bool read_line(int fd, GString *line)
{
	char c;

	g_string_truncate(line, 0);
	while (read_byte(fd, &c)) {
		if (c == '\n')
			return true;
		if (c != '\r')
			g_string_append_c(line, c);
	}
	return false;
}

static bool read_bytes(int fd, GString *body, gsize size)
{
	char buffer[16384];

	while (size) {
		ssize_t got = recv(fd, buffer, MIN(size, sizeof(buffer)), 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		g_string_append_len(body, buffer, got);
		size -= (gsize)got;
	}
	return true;
}

void rv_clear(struct rv_message *message)
{
	g_free(message->method);
	g_free(message->target);
	if (message->fields)
		g_hash_table_unref(message->fields);
	if (message->body)
		g_string_free(message->body, TRUE);
	memset(message, 0, sizeof(*message));
}

const char *rv_field(const struct rv_message *message, const char *name)
{
	return g_hash_table_lookup(message->fields, name);
}

static bool read_fields(int fd, struct rv_message *message, GString *line)
{
	message->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	message->body = g_string_new(NULL);
	while (read_line(fd, line)) {
		char *colon = strchr(line->str, ':');

		if (!line->len)
			return true;
		if (!colon)
			return false;
		*colon = '\0';
		g_hash_table_replace(message->fields,
				     g_ascii_strdown(line->str, -1),
				     g_strstrip(g_strdup(colon + 1)));
	}
	return false;
}

static bool read_chunks(int fd, GString *body, GString *line)
{
	while (read_line(fd, line)) {
		gsize size = g_ascii_strtoull(line->str, NULL, 16);

		if (!size)
			return read_line(fd, line);
		if (!read_bytes(fd, body, size) || !read_line(fd, line))
			return false;
	}
	return false;
}

static bool read_body(int fd, struct rv_message *message, GString *line)
{
	const char *length = rv_field(message, "content-length");
	const char *coding = rv_field(message, "transfer-encoding");

	if (coding)
		return read_chunks(fd, message->body, line);
	return !length || read_bytes(fd, message->body,
				     g_ascii_strtoull(length, NULL, 10));
}

bool rv_read_answer(int fd, struct rv_message *answer)
{
	GString *line = g_string_new(NULL);
	bool came = read_line(fd, line) && line->len > 12;

	memset(answer, 0, sizeof(*answer));
	if (came)
		answer->status = (int)g_ascii_strtoull(line->str + 9, NULL, 10);
	came = came && read_fields(fd, answer, line);
	answer->complete = came && read_body(fd, answer, line);
	g_string_free(line, TRUE);
	return came;
}

static bool read_request(int fd, struct rv_message *request)
{
	GString *line = g_string_new(NULL);
	g_auto(GStrv) words = NULL;
	bool ok = read_line(fd, line);

	memset(request, 0, sizeof(*request));
	words = g_strsplit(line->str, " ", 3);
	ok = ok && g_strv_length(words) == 3;
	if (ok) {
		request->method = g_strdup(words[0]);
		request->target = g_strdup(words[1]);
		ok = read_fields(fd, request, line) &&
		     read_body(fd, request, line);
	}
	g_string_free(line, TRUE);
	return ok;
}

bool rv_answer(int fd, int status, const char *fields, const char *body)
{
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 %d Answer\r\n%s"
				"Content-Length: %zu\r\n\r\n%s",
				status, fields, strlen(body), body);

	return rv_write(fd, text, strlen(text));
}

/* ---- listeners ---- */

struct rv_listener {
	int fd;
	rv_request_fn on_request;
	void *userdata;
	bool crashed;
	GHashTable *connections; /* of struct connection */
};

struct connection {
	int fd;
	struct rv_listener *listener;
};

static GMutex connections_lock;
static GHashTable *connections_by_fd; /* fd -> struct connection */

static bool has_crashed(int fd)
{
	const struct connection *connection = NULL;
	bool crashed;

	g_mutex_lock(&connections_lock);
	if (connections_by_fd)
		connection = g_hash_table_lookup(connections_by_fd,
						 GINT_TO_POINTER(fd));
	crashed = connection && connection->listener->crashed;
	g_mutex_unlock(&connections_lock);
	return crashed;
}

bool rv_work(int fd, guint ms)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)ms * 1000;

	while (g_get_monotonic_time() < end_us && !has_crashed(fd))
		g_usleep(MIN(5000, ms * 1000));
	return !has_crashed(fd);
}

static void close_connection(struct connection *connection)
{
	g_mutex_lock(&connections_lock);
	g_hash_table_remove(connection->listener->connections, connection);
	g_hash_table_remove(connections_by_fd, GINT_TO_POINTER(connection->fd));
	close(connection->fd);
	g_mutex_unlock(&connections_lock);
	g_free(connection);
}

static gpointer run_connection(gpointer data)
{
	struct connection *connection = data;
	const struct rv_listener *listener = connection->listener;
	struct rv_message request;
	bool ok;

	do {
		ok = read_request(connection->fd, &request);
		if (ok)
			listener->on_request(listener->userdata, connection->fd,
					     &request);
		ok = ok && g_strcmp0(rv_field(&request, "connection"), "close");
		rv_clear(&request);
	} while (ok && !has_crashed(connection->fd));
	close_connection(connection);
	return NULL;
}

static void add_connection(struct rv_listener *listener, int fd)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->listener = listener;
	connection->fd = fd;
	g_mutex_lock(&connections_lock);
	g_hash_table_add(listener->connections, connection);
	g_hash_table_insert(connections_by_fd, GINT_TO_POINTER(fd), connection);
	g_mutex_unlock(&connections_lock);
	g_thread_unref(g_thread_new("connection", run_connection, connection));
}

static gpointer run_listener(gpointer data)
{
	struct rv_listener *listener = data;
	int fd;

	while ((fd = accept(listener->fd, NULL, NULL)) >= 0)
		add_connection(listener, fd);
	return NULL;
}

struct rv_listener *rv_serve(const char *address, rv_request_fn on_request,
			     void *userdata)
{
	struct rv_listener *listener = g_new0(struct rv_listener, 1);
	struct sockaddr_in at;
	int on = 1;

	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	listener->on_request = on_request;
	listener->userdata = userdata;
	listener->connections = g_hash_table_new(NULL, NULL);
	g_mutex_lock(&connections_lock);
	if (!connections_by_fd)
		connections_by_fd = g_hash_table_new(NULL, NULL);
	g_mutex_unlock(&connections_lock);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!parse_address(address, &at) ||
	    bind(listener->fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(listener->fd, 256) < 0) {
		fprintf(stderr, "cannot listen on %s\n", address);
		exit(EXIT_UNRUN);
	}
	g_thread_unref(g_thread_new("listener", run_listener, listener));
	return listener;
}

/* The threads of the connections see it and close them, with a reset. */
void rv_crash(struct rv_listener *listener)
{
	static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	GHashTableIter iter;
	gpointer key;

	g_mutex_lock(&connections_lock);
	listener->crashed = true;
	shutdown(listener->fd, SHUT_RDWR);
	close(listener->fd);
	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		int fd = ((struct connection *)key)->fd;

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(fd, SHUT_RD);
	}
	g_mutex_unlock(&connections_lock);
}

/* ---- the key-value service ---- */

struct item {
	char *value; /* base64; NULL: removed */
	int64_t revision;
	int64_t made;
};

struct event {
	char *key;
	char *json;
	int64_t revision;
};

struct rv_store {
	GMutex lock;
	GCond changed;
	GTree *items; /* key -> struct item */
	GArray *events;
	int64_t revision;
};

static char *item_json(const char *key, const struct item *item)
{
	if (!item->value)
		return g_strdup_printf(
			"{\"key\":\"%s\",\"revision\":%" G_GINT64_FORMAT
			",\"tombstone\":true}",
			key, (gint64)item->revision);
	return g_strdup_printf("{\"key\":\"%s\",\"value\":\"%s\",\"revision\":"
			       "%" G_GINT64_FORMAT ",\"made\":%" G_GINT64_FORMAT
			       ",\"lease\":0}",
			       key, item->value, (gint64)item->revision,
			       (gint64)item->made);
}

static void change(struct rv_store *store, const char *key, char *value)
{
	struct item *item = g_tree_lookup(store->items, key);
	struct event event = { .key = g_strdup(key) };

	if (!item) {
		item = g_new0(struct item, 1);
		g_tree_insert(store->items, g_strdup(key), item);
	}
	item->revision = ++store->revision;
	if (!item->value)
		item->made = item->revision;
	g_free(item->value);
	item->value = value;
	event.revision = item->revision;
	event.json = item_json(key, item);
	g_array_append_val(store->events, event);
	g_cond_broadcast(&store->changed);
}

void rv_store_put(struct rv_store *store, const char *key, const char *value)
{
	g_mutex_lock(&store->lock);
	change(store, key,
	       g_base64_encode((const guchar *)value, strlen(value)));
	g_mutex_unlock(&store->lock);
}

void rv_store_remove(struct rv_store *store, const char *key)
{
	g_mutex_lock(&store->lock);
	change(store, key, NULL);
	g_mutex_unlock(&store->lock);
}

void rv_store_put_server(struct rv_store *store, const char *id,
			 const char *service, const char *address,
			 const char *state)
{
	g_autofree char *key = g_strconcat("servers/", id, NULL);
	g_autofree char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\","
		"\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
		"\"cold_left_ms\":0,\"seq_no\":1}",
		service, address, state);

	rv_store_put(store, key, value);
}

/* A parameter of the query, decoded; "": none. */
static char *parameter(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	g_auto(GStrv) pairs = g_strsplit(query ? query + 1 : "", "&", -1);
	gsize size = strlen(name);

	for (char **pair = pairs; *pair; pair++)
		if (!strncmp(*pair, name, size) && (*pair)[size] == '=')
			return g_uri_unescape_string(*pair + size + 1, NULL);
	return g_strdup("");
}

struct listing {
	const char *prefix;
	GString *json;
};

static gboolean add_item(gpointer key, gpointer value, gpointer userdata)
{
	struct listing *listing = userdata;
	const struct item *item = value;
	g_autofree char *json = NULL;

	if (!item->value || !g_str_has_prefix(key, listing->prefix))
		return FALSE;
	json = item_json(key, item);
	g_string_append_printf(listing->json, "%s%s",
			       listing->json->len ? "," : "", json);
	return FALSE;
}

static char *range(struct rv_store *store, const char *target)
{
	g_autofree char *prefix = parameter(target, "prefix");
	g_autoptr(GString) json = g_string_new(NULL);
	struct listing listing = { prefix, json };

	g_tree_foreach(store->items, add_item, &listing);
	return g_strdup_printf("{\"items\":[%s],\"has_more\":false,"
			       "\"current_rev\":%" G_GINT64_FORMAT "}",
			       json->str, (gint64)store->revision);
}

static void list_events(struct rv_store *store, const char *prefix,
			int64_t after, GString *json)
{
	for (guint i = 0; i < store->events->len; i++) {
		const struct event *event =
			&g_array_index(store->events, struct event, i);

		if (event->revision > after &&
		    g_str_has_prefix(event->key, prefix))
			g_string_append_printf(json, "%s%s",
					       json->len ? "," : "",
					       event->json);
	}
}

static char *watch(struct rv_store *store, const char *target)
{
	g_autofree char *prefix = parameter(target, "prefix");
	g_autofree char *after = parameter(target, "after");
	g_autofree char *wait = parameter(target, "wait_ms");
	g_autoptr(GString) json = g_string_new(NULL);
	int64_t end_us = g_get_monotonic_time() +
			 (int64_t)g_ascii_strtoull(wait, NULL, 10) * 1000;
	bool timed_out = false;

	for (;;) {
		list_events(store, prefix, g_ascii_strtoll(after, NULL, 10),
			    json);
		if (json->len || timed_out)
			break;
		timed_out = !g_cond_wait_until(&store->changed, &store->lock,
					       end_us);
	}
	return g_strdup_printf(
		"{\"events\":[%s],\"current_rev\":%" G_GINT64_FORMAT "}",
		json->str, (gint64)store->revision);
}

static void on_store_request(void *userdata, int fd,
			     const struct rv_message *request)
{
	struct rv_store *store = userdata;
	g_autofree char *json = NULL;

	g_mutex_lock(&store->lock);
	if (strstr(request->target, "kv-range"))
		json = range(store, request->target);
	else if (strstr(request->target, "kv-watch"))
		json = watch(store, request->target);
	g_mutex_unlock(&store->lock);
	rv_answer(fd, json ? 200 : 404, "Content-Type: application/json\r\n",
		  json ? json : "{}");
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer userdata)
{
	return strcmp(a, b);
}

struct rv_store *rv_store_start(const char *address)
{
	struct rv_store *store = g_new0(struct rv_store, 1);

	store->items = g_tree_new_full(compare_keys, NULL, g_free, NULL);
	store->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	store->revision = 100;
	rv_serve(address, on_store_request, store);
	return store;
}

/* ---- entries ---- */

char *rv_entry_settings(const char *name, const char *ip, const char *seeds,
			const char *store)
{
	return g_strdup_printf(
		"node_name=%s\nrole=entry\nmachine_class=front\n"
		"serves=front,control\nip=%s\nzone=a\nregion=r\nzones.a=r\n"
		"listen.front=%s:%d\nlisten.ready=%s:%d\n"
		"listen.control=%s:%d\nport_range=%d,%d\nseeds=%s\n"
		"bootstrap=false\nlimits.cpu_share=0.19\nlimits.cores=1\n"
		"limits.memory_mb=260\nlimits.max_fds=4100\n"
		"heartbeat_ms=1200\nbounds.drain_ms=2000\n"
		"bounds.grace_s=8\nbounds.config_ms=2000\n"
		"bounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
		"bounds.retry_slack=56\nplatform.address=%s\n"
		"platform.form=kv\n",
		name, ip, ip, RV_FRONT_PORT, ip, READY_PORT, ip, CONTROL_PORT,
		PEERS_PORT, PEERS_PORT + 15, seeds, store);
}

/* The time of the run is over: no process is left behind. */
static void on_end_signal(int number)
{
	for (int i = 0; i < entry_count; i++)
		kill(entries[i], SIGKILL);
	_exit(EXIT_UNRUN);
}

GPid rv_start_entry(const char *name, const char *settings)
{
	char *argv[] = { "target/linepier-platformd", NULL };
	g_autofree char *path = NULL;
	g_autofree char *log = NULL;
	g_auto(GStrv) env = NULL;
	GPid pid;
	FILE *out;

	if (!folder) {
		folder = g_dir_make_tmp("linepier-review-XXXXXX", NULL);
		signal(SIGTERM, on_end_signal);
		signal(SIGINT, on_end_signal);
	}
	g_assert(entry_count < ENTRIES_MAX);
	path = g_strdup_printf("%s/%s.conf", folder, name);
	log = g_strdup_printf("%s/%s.log", folder, name);
	out = fopen(log, "a");
	env = g_environ_setenv(g_get_environ(), "LINEPIER_BOOT", path, TRUE);
	if (!out || !g_file_set_contents(path, settings, -1, NULL) ||
	    !g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
				    NULL, NULL, &pid, -1, fileno(out),
				    fileno(out), NULL)) {
		fprintf(stderr, "cannot start %s\n", argv[0]);
		exit(EXIT_UNRUN);
	}
	fclose(out);
	entries[entry_count] = pid;
	entry_count++;
	rv_record("entry %s starts, process %d", name, (int)pid);
	return pid;
}

static void end_entries(void)
{
	for (int i = 0; i < entry_count; i++) {
		if (waitpid(entries[i], NULL, WNOHANG) == entries[i])
			continue;
		kill(entries[i], SIGKILL);
		waitpid(entries[i], NULL, 0);
	}
}

static void remove_folder(void)
{
	GDir *dir = folder ? g_dir_open(folder, 0, NULL) : NULL;
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
	}
	if (dir)
		g_dir_close(dir);
	if (folder)
		g_rmdir(folder);
}

static bool is_ready(const char *address)
{
	struct rv_message answer = { 0 };
	int fd = rv_connect(address);
	bool ready;

	if (fd < 0)
		return false;
	rv_write(fd, "GET /linepier/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 45);
	ready = rv_read_answer(fd, &answer) && answer.status == 200;
	rv_clear(&answer);
	close(fd);
	return ready;
}

void rv_wait_ready(const char *ip)
{
	g_autofree char *address = g_strdup_printf("%s:%d", ip, READY_PORT);
	int64_t end_ms = rv_now_ms() + READY_LIMIT_MS;

	while (!is_ready(address)) {
		if (rv_now_ms() > end_ms) {
			fprintf(stderr, "%s does not get ready\n", ip);
			end_entries();
			exit(EXIT_UNRUN);
		}
		g_usleep(50000);
	}
}

void rv_finish(bool broken)
{
	end_entries();
	remove_folder();
	rv_record("%s", broken ? "the rule was broken" : "the rule held");
	printf("%s\n", broken ? "broken" : "held");
	exit(broken ? 1 : 0);
}
