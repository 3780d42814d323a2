// A listening socket on a free port of the loopback interface.
#ifndef TEST_LIB_LISTENING_SOCKET_H
#define TEST_LIB_LISTENING_SOCKET_H

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

// Returns the socket, which the caller closes, and sets @url to its address.
static inline int listening_socket(std::string *url)
{
	struct sockaddr_in a = {};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(0, bind(fd, (struct sockaddr *)&a, size));
	EXPECT_EQ(0, listen(fd, 16));
	getsockname(fd, (struct sockaddr *)&a, &size);
	*url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port));
	return fd;
}

#endif
