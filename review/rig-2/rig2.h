/*
 * Stand-ins for the cases of the second review: the platform's store, backend
 * servers, clients, and the processes of the system.
 *
 * All of them run in one process with a thread for each connection; only the
 * nodes are processes of their own, started with the command of the deploy file.
 * Every address is a loopback address, and ports are chosen so that they are
 * free.
 */
#ifndef RIG2_H
#define RIG2_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HEADERS_MAX 64
#define RIG_NODES_MAX 32

/* Milliseconds on the monotonic clock since rig_open(). */
int64_t rig_ms(void);
void rig_sleep_ms(int64_t ms);

/**
 * rig_open() - set up the case from its command line.
 *
 * Arguments: FOLDER (of record.txt) NODE_COMMAND. The environment variable
 * TROUBLE=0 leaves the disruption out.
 */
void rig_open(int argc, char **argv);
bool rig_trouble(void);
/* The settings are those of pss-mesh-grown, and not of pss-mesh. */
void rig_use_grown(void);
/* Writes a line to record.txt, with the time. */
void rig_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/* Notes that the rule was broken, with the reason. */
void rig_broken(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/* Ends the case because it cannot run. */
void rig_cannot_run(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));
/* Ends all processes. Return: exit code of the case, 1 if a rule was broken. */
int rig_close(void);

/* Strings that grow. */
struct rig_text {
	char *data;
	size_t size;
};

void rig_text_add(struct rig_text *t, const void *data, size_t size);
void rig_text_printf(struct rig_text *t, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void rig_text_free(struct rig_text *t);

/**
 * struct rig_message - an HTTP request or answer.
 * @start: first line
 * @names, @values: headers; both point into @head
 * @body: content; of an answer, what arrived
 * @whole: the framing says that all of it arrived
 */
struct rig_message {
	char *head;
	char *start;
	char *names[RIG_HEADERS_MAX];
	char *values[RIG_HEADERS_MAX];
	size_t headers_nr;
	struct rig_text body;
	bool whole;
};

/* Value of a header, or "". */
const char *rig_header(const struct rig_message *m, const char *name);
/* Second word of the first line: path of a request, status of an answer. */
const char *rig_word(const struct rig_message *m, char *buffer, size_t size);
void rig_message_free(struct rig_message *m);

/* A connection that is read with a buffer. */
struct rig_stream {
	int fd;
	char data[65536];
	size_t from, to;
};

/* Return: 0, or -1 at the end of the connection. */
int rig_read_request(struct rig_stream *s, struct rig_message *m);
int rig_read_answer(struct rig_stream *s, struct rig_message *m);
bool rig_send(int fd, const void *data, size_t size);
/* Closes the connection with a reset. */
void rig_reset(int fd);

/**
 * rig_serve() - accept connections in a thread.
 * @serve: called in a thread for each connection; closes the descriptor
 *
 * Return: listening socket.
 */
int rig_serve(const char *ip, int port, void (*serve)(void *data, int fd),
	      void *data);

/* Starts the platform's store. */
void rig_store_start(void);
void rig_store_put(const char *key, const char *value);
void rig_store_remove(const char *key);
/* Closes the connections of the watches that wait, without an answer. */
void rig_store_cut_watches(void);

/**
 * struct rig_node - a machine: its address and the process of the system.
 * @ip: address
 * @zone: availability zone
 * @service: service of its backend server
 * @pid: process, 0 while there is none
 */
struct rig_node {
	char ip[32];
	char zone[32];
	char service[32];
	pid_t pid;
};

/* Ports, the same on all machines. */
int rig_backend_port(void);
int rig_outbound_port(void);

/* Adds a machine of the same loopback network; the process is not started. */
struct rig_node *rig_add_node(const char *zone, const char *service);
void rig_node_start(struct rig_node *n);
/* Waits until each started node answers its readiness check with 200. */
void rig_wait_ready(void);
/* Puts the registration of a backend server. */
void rig_register(const char *id, const struct rig_node *n, const char *state,
		  int slots, int64_t born_ms);

/**
 * struct rig_result - what a client saw.
 * @status: status of the answer, 0 if the connection ended without one
 * @seal: value of X-Server-Seal
 * @id: id of the request
 * @message: the answer
 */
struct rig_result {
	int status;
	char seal[128];
	char id[24];
	struct rig_message message;
	int64_t took_ms;
};

/**
 * rig_call() - send one request on a new connection to the node of a machine.
 * @deadline_ms: X-Deadline-Ms; the client waits somewhat longer
 * @key: X-Key
 */
void rig_call(const struct rig_node *n, const char *method, const char *host,
	      const char *path, const char *key, const char *body,
	      int deadline_ms, struct rig_result *r);
void rig_result_free(struct rig_result *r);

#endif
