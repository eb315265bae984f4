/**
 * Noticing callers that hang up while their request is worked on.
 *
 * One epoll descriptor stands for all of them on the main loop: GLib polls
 * every descriptor it has on every turn, which at 1,000 requests in flight
 * cost more than the requests themselves.
 */
#ifndef ENTRY_DISCONNECT_H
#define ENTRY_DISCONNECT_H

#include <gio/gio.h>

struct entry_disconnect;

/** gone() is called from the loop, once, for a watch whose peer hung up. */
struct entry_disconnect *
entry_disconnect_create(void (*on_disconnect)(void *userdata));
void entry_disconnect_destroy(struct entry_disconnect *disconnect);
/** Watch a socket for `userdata`; it must stay open until removed. */
void entry_disconnect_watch(struct entry_disconnect *disconnect,
			    GSocket *socket, void *userdata);
/** Stop watching. A socket that is closed already needs nothing. */
void entry_disconnect_unwatch(struct entry_disconnect *disconnect,
			      GSocket *socket);

#endif
