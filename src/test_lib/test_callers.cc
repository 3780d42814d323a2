// Open connections of callers, without a server.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cstring>

extern "C" {
#include "libnode/callers.h"
}

namespace
{
// A connection whose caller has sent @text and closed its sending direction.
struct Half {
	explicit Half(const char *text)
	{
		EXPECT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0,
					fd));
		EXPECT_EQ((ssize_t)strlen(text),
			  write(fd[1], text, strlen(text)));
		shutdown(fd[1], SHUT_WR);
	}

	~Half()
	{
		close(fd[0]);
		close(fd[1]);
	}

	int fd[2];
};
} // namespace

// Guards against the end of a connection that is told only once, and against a
// connection that is cut while bytes or an answer are on the way.
TEST(Callers, EndIsToldAgain)
{
	struct epoll_event e = {};
	Half ended(""), unread("GET");
	struct bb_callers *all = bb_callers_new();
	struct bb_caller *c[] = { bb_callers_open(all, ended.fd[0]),
				  bb_callers_open(all, unread.fd[0]) };
	int epoll = epoll_create1(EPOLL_CLOEXEC);
	char text[8] = {};

	e.events = EPOLLIN | EPOLLET;
	EXPECT_EQ(0, epoll_ctl(epoll, EPOLL_CTL_ADD, ended.fd[0], &e));
	EXPECT_EQ(1, epoll_wait(epoll, &e, 1, 0));
	EXPECT_EQ(0, epoll_wait(epoll, &e, 1, 0));
	EXPECT_EQ(1u, bb_callers_check(all, 2));
	EXPECT_EQ(1, epoll_wait(epoll, &e, 1, 0));
	EXPECT_EQ(3, read(unread.fd[0], text, sizeof(text)));
	EXPECT_EQ(2, write(ended.fd[0], "ok", 2));
	EXPECT_EQ(2, read(ended.fd[1], text, sizeof(text)));
	for (struct bb_caller *i : c)
		bb_callers_close(all, i);
	bb_callers_delete(all);
	close(epoll);
}

// Guards against connections beyond the number for one check that are never looked
// at.
TEST(Callers, ChecksGoRound)
{
	Half first(""), second("");
	struct bb_callers *all = bb_callers_new();
	struct bb_caller *c[] = { bb_callers_open(all, first.fd[0]),
				  bb_callers_open(all, second.fd[0]) };
	unsigned int ended = 0;

	for (int i = 0; i < 2; i++)
		ended += bb_callers_check(all, 1);
	EXPECT_EQ(2u, ended);
	for (struct bb_caller *i : c)
		bb_callers_close(all, i);
	bb_callers_delete(all);
}
