#include "libnode/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

int bb_socket_break_off(int fd)
{
	/* socket(7): what was sent is dropped, and the peer gets a reset. */
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	int unconnected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int rc;

	if (unconnected < 0)
		return -1;
	rc = setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (!rc && dup3(unconnected, fd, O_CLOEXEC) < 0)
		rc = -1;
	close(unconnected);
	return rc;
}

unsigned int bb_socket_local_port(int fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in ipv4;
		struct sockaddr_in6 ipv6;
	} address = { 0 };
	socklen_t size = sizeof(address);

	if (getsockname(fd, &address.any, &size))
		return 0;
	return ntohs(address.any.sa_family == AF_INET6 ?
			     address.ipv6.sin6_port :
			     address.ipv4.sin_port);
}
