/**
 * Detects callers that disconnect while their request is in progress.
 *
 * All caller sockets are watched through one epoll descriptor on the main
 * loop: GLib polls each of its descriptors in every event-loop iteration,
 * which at 1,000 requests in flight cost more than the requests themselves.
 */
#ifndef ENTRY_DISCONNECT_H
#define ENTRY_DISCONNECT_H

#include <gio/gio.h>

struct entry_disconnect;

/** on_disconnect() is called from the loop, once per watch, with its userdata.
 */
struct entry_disconnect *
entry_disconnect_create(void (*on_disconnect)(void *userdata));
void entry_disconnect_destroy(struct entry_disconnect *disconnect);
/** Watch a socket for `userdata`; it must stay open until removed. */
void entry_disconnect_watch(struct entry_disconnect *disconnect,
			    GSocket *socket, void *userdata);
/** Stop watching. Does nothing for a socket that is closed already. */
void entry_disconnect_unwatch(struct entry_disconnect *disconnect,
			      GSocket *socket);

#endif
