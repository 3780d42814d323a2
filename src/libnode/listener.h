/*
 * Listening socket for callers, with a thread that accepts connections.
 *
 * libmicrohttpd's own listening socket is not used: when it is closed at a
 * planned stop, version 0.9.75 removes it from a worker's epoll set both in the
 * calling thread and in the worker, and aborts the process when the second
 * removal fails.
 */
#ifndef BB_NODE_LISTENER_H
#define BB_NODE_LISTENER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "baobabward/error.h"

struct bb_listener;

/**
 * struct bb_listener_options - options of a listener.
 * @address: IP address to listen on
 * @port: TCP port, 0 for one that the system chooses
 * @accepted: takes over a connected, non-blocking socket
 * @at_limit: whether connections must wait in the backlog; called before each
 *            accept, except in bb_listener_drain()
 * @data: passed to the callbacks, which run on the listener's thread or, in
 *        bb_listener_drain(), on the calling thread
 */
struct bb_listener_options {
	const char *address;
	uint16_t port;
	void (*accepted)(void *data, int fd, const struct sockaddr *sa,
			 socklen_t size);
	bool (*at_limit)(void *data);
	void *data;
};

/**
 * bb_listener_new() - listen and start the accepting thread.
 * @o: options; the strings need not stay valid
 * @err: set on failure
 *
 * Return: listener, or NULL.
 */
struct bb_listener *bb_listener_new(const struct bb_listener_options *o,
				    struct bb_error *err);

/**
 * bb_listener_port() - port that the listener is bound to.
 * @l: listener
 */
uint16_t bb_listener_port(const struct bb_listener *l);

/**
 * bb_listener_drain() - accept all waiting connections, then stop listening.
 * @l: listener
 *
 * Closing a listening socket resets connections that wait to be accepted, and
 * their callers may have sent a request already.
 *
 * Return: whether any connection was waiting.
 */
bool bb_listener_drain(struct bb_listener *l);

/**
 * bb_listener_delete() - drain and free.
 * @l: listener, may be NULL
 */
void bb_listener_delete(struct bb_listener *l);

#endif
