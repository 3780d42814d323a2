/*
 * What libcurl does not offer for its sockets.
 */
#ifndef BB_NODE_SOCKET_H
#define BB_NODE_SOCKET_H

/**
 * bb_socket_break_off() - reset a TCP connection and keep its descriptor open.
 * @fd: its socket
 *
 * A socket that was never connected takes its place, so that all later reads and
 * writes fail. After shutdown(), a read would report the end of the connection,
 * as if the peer had closed it, and an answer whose end is the end of its
 * connection would look complete.
 *
 * Return: 0, or -1 with errno set.
 */
int bb_socket_break_off(int fd);

/**
 * bb_socket_local_port() - port of this end of a connection.
 * @fd: its socket
 *
 * Return: port, 0 if it is not known.
 */
unsigned int bb_socket_local_port(int fd);

#endif
