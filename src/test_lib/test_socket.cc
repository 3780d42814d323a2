// Breaking off TCP connections, over real sockets.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

#include "listening_socket.h"

extern "C" {
#include "libnode/socket.h"
}

// Some systems, among them the users' platform, cannot dissolve the association
// of a socket.
extern "C" int connect(int fd, const struct sockaddr *a, socklen_t size)
{
	static auto next = (int (*)(int, const struct sockaddr *,
				    socklen_t))dlsym(RTLD_NEXT, "connect");

	if (a->sa_family != AF_UNSPEC)
		return next(fd, a, size);
	errno = EAFNOSUPPORT;
	return -1;
}

namespace
{

// A connection, with its two ends.
struct Pair {
	int ours = socket(AF_INET, SOCK_STREAM, 0), theirs = -1;

	Pair()
	{
		std::string url;
		int listening = listening_socket(&url);
		struct sockaddr_in a = {};
		socklen_t size = sizeof(a);

		getsockname(listening, (struct sockaddr *)&a, &size);
		EXPECT_EQ(0, connect(ours, (struct sockaddr *)&a, size));
		theirs = accept(listening, nullptr, nullptr);
		close(listening);
	}
	~Pair()
	{
		close(ours);
		close(theirs);
	}
};

} // namespace

// Guards against an end made by this node that reads as one made by the peer:
// an answer without a length would count as complete, with or without bytes
// that were not read yet.
TEST(Socket, BrokenOffConnectionReadsAsAnError)
{
	for (bool unread : { false, true }) {
		Pair p;
		char byte;

		if (unread) {
			struct pollfd waiting = { p.ours, POLLIN, 0 };

			ASSERT_EQ(1, send(p.theirs, "x", 1, 0));
			ASSERT_EQ(1, poll(&waiting, 1, 10000));
		}
		ASSERT_EQ(0, bb_socket_break_off(p.ours));
		for (int i = 0; i < 3; i++)
			EXPECT_EQ(-1, recv(p.ours, &byte, 1, MSG_DONTWAIT));
		EXPECT_EQ(-1, send(p.ours, "y", 1, MSG_NOSIGNAL));
		// A poll reports the end at once, as libcurl needs it to not
		// use the connection again.
		struct pollfd ended = { p.ours, POLLIN, 0 };

		EXPECT_EQ(1, poll(&ended, 1, 0));
		EXPECT_TRUE(ended.revents & POLLHUP);
		EXPECT_EQ(-1, recv(p.theirs, &byte, 1, 0));
		EXPECT_EQ(ECONNRESET, errno);
	}
}

// Guards against a log line that names another connection.
TEST(Socket, LocalPortIsThePeersRemotePort)
{
	Pair p;
	struct sockaddr_in a = {};
	socklen_t size = sizeof(a);

	ASSERT_EQ(0, getpeername(p.theirs, (struct sockaddr *)&a, &size));
	EXPECT_EQ(ntohs(a.sin_port), bb_socket_local_port(p.ours));
	EXPECT_EQ(0u, bb_socket_local_port(-1));
}
