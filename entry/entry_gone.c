#include "entry/entry_gone.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_PER_WAKEUP 64

struct entry_disconnect {
	void (*gone)(void *userdata);
	int epoll;
	guint source;
};

static gboolean on_ready(int fd, GIOCondition condition, gpointer userdata)
{
	struct entry_disconnect *gone = userdata;
	struct epoll_event events[EVENTS_PER_WAKEUP];
	int count = epoll_wait(gone->epoll, events, EVENTS_PER_WAKEUP, 0);

	for (int i = 0; i < count; i++)
		gone->gone(events[i].data.ptr);
	return G_SOURCE_CONTINUE;
}

struct entry_disconnect *
entry_disconnect_create(void (*gone_callback)(void *userdata))
{
	struct entry_disconnect *gone = g_new0(struct entry_disconnect, 1);

	gone->gone = gone_callback;
	gone->epoll = epoll_create1(EPOLL_CLOEXEC);
	gone->source = g_unix_fd_add(gone->epoll, G_IO_IN, on_ready, gone);
	return gone;
}

void entry_disconnect_destroy(struct entry_disconnect *gone)
{
	if (!gone)
		return;
	g_source_remove(gone->source);
	close(gone->epoll);
	g_free(gone);
}

void entry_disconnect_watch(struct entry_disconnect *gone, GSocket *socket,
			    void *userdata)
{
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLONESHOT,
		.data.ptr = userdata,
	};

	epoll_ctl(gone->epoll, EPOLL_CTL_ADD, g_socket_get_fd(socket), &event);
}

void entry_disconnect_unwatch(struct entry_disconnect *gone, GSocket *socket)
{
	int fd = g_socket_get_fd(socket);

	if (fd >= 0)
		epoll_ctl(gone->epoll, EPOLL_CTL_DEL, fd, NULL);
}
