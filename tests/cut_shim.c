/*
 * Cuts a process of ours off while the file that LP_CUT names holds a number
 * other than 0 (int64_t): no connection begins, reading from one fails, and
 * datagrams are lost both ways. Connections to the port of that number are
 * served all the same; 1: to none.
 */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

static const volatile int64_t *cut;

__attribute__((constructor)) static void open_file(void)
{
	const char *path = getenv("LP_CUT");
	int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
	void *memory;

	if (fd < 0)
		return;
	memory = mmap(NULL, sizeof(*cut), PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	if (memory != MAP_FAILED)
		cut = memory;
}

static int fail(int error)
{
	errno = error;
	return -1;
}

static bool is_cut(void)
{
	return cut && *cut;
}

/* IPv4 only, as entries have it. */
static bool is_cut_from(const struct sockaddr *at)
{
	return is_cut() && at->sa_family == AF_INET &&
	       ntohs(((const struct sockaddr_in *)at)->sin_port) != *cut;
}

static bool is_peer_cut(int fd)
{
	struct sockaddr_storage at = { 0 };
	socklen_t size = sizeof(at);

	return is_cut() && !getpeername(fd, (struct sockaddr *)&at, &size) &&
	       is_cut_from((struct sockaddr *)&at);
}

static bool is_datagram(int fd)
{
	int type = 0;
	socklen_t size = sizeof(type);

	getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size);
	return type == SOCK_DGRAM;
}

int connect(int fd, const struct sockaddr *to, socklen_t size)
{
	return is_cut_from(to) ? fail(ENETUNREACH)
			       : (int)syscall(SYS_connect, fd, to, size);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
	return is_cut() && is_datagram(fd)
		       ? 0
		       : syscall(SYS_sendmsg, fd, message, flags);
}

ssize_t recv(int fd, void *bytes, size_t size, int flags)
{
	return is_peer_cut(fd) ? fail(ECONNRESET)
			       : syscall(SYS_recvfrom, fd, bytes, size, flags,
					 NULL, NULL);
}

/* A datagram is read and dropped, or the process would be woken by it again. */
ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
	ssize_t size = syscall(SYS_recvmsg, fd, message, flags);

	return is_cut() && is_datagram(fd) ? fail(EAGAIN) : size;
}
