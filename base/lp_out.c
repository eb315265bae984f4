#include "base/lp_out.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <unistd.h>

/* A pipe that polls as writable takes this many bytes (PIPE_BUF). The
 * descriptor is not made non-blocking: others may share it. */
#define SAFE_SIZE 4096

static int can_write(int fd)
{
	struct pollfd ready = { .fd = fd, .events = POLLOUT };

	return poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
}

size_t lp_out_write(int fd, const char *bytes, size_t size)
{
	size_t done = 0;

	while (done < size && can_write(fd)) {
		ssize_t written =
			write(fd, bytes + done, MIN(size - done, SAFE_SIZE));

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			break;
		done += (size_t)written;
	}
	return done;
}
