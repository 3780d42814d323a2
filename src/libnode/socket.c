#include "libnode/socket.h"

#include <netinet/in.h>
#include <sys/socket.h>

int bb_socket_break_off(int fd)
{
	/* connect(2): dissolves the association of a TCP socket. */
	const struct sockaddr none = { .sa_family = AF_UNSPEC };

	return connect(fd, &none, sizeof(none));
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
