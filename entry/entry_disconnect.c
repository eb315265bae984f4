#include "entry/entry_disconnect.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_PER_WAKEUP 64

struct entry_disconnect {
	void (*on_disconnect)(void *userdata);
	int epoll;
	guint source;
};

static gboolean on_ready(int fd, GIOCondition condition, gpointer userdata)
{
	struct entry_disconnect *disconnect = userdata;
	struct epoll_event events[EVENTS_PER_WAKEUP];
	int count = epoll_wait(disconnect->epoll, events, EVENTS_PER_WAKEUP, 0);

	for (int i = 0; i < count; i++)
		disconnect->on_disconnect(events[i].data.ptr);
	return G_SOURCE_CONTINUE;
}

struct entry_disconnect *
entry_disconnect_create(void (*on_disconnect)(void *userdata))
{
	struct entry_disconnect *disconnect =
		g_new0(struct entry_disconnect, 1);

	disconnect->on_disconnect = on_disconnect;
	disconnect->epoll = epoll_create1(EPOLL_CLOEXEC);
	disconnect->source =
		g_unix_fd_add(disconnect->epoll, G_IO_IN, on_ready, disconnect);
	return disconnect;
}

void entry_disconnect_destroy(struct entry_disconnect *disconnect)
{
	if (!disconnect)
		return;
	g_source_remove(disconnect->source);
	close(disconnect->epoll);
	g_free(disconnect);
}

void entry_disconnect_watch(struct entry_disconnect *disconnect,
			    GSocket *socket, void *userdata)
{
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLONESHOT,
		.data.ptr = userdata,
	};

	epoll_ctl(disconnect->epoll, EPOLL_CTL_ADD, g_socket_get_fd(socket),
		  &event);
}

void entry_disconnect_unwatch(struct entry_disconnect *disconnect,
			      GSocket *socket)
{
	int fd = g_socket_get_fd(socket);

	if (fd >= 0)
		epoll_ctl(disconnect->epoll, EPOLL_CTL_DEL, fd, NULL);
}
