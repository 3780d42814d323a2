/*
 * Stand-ins for the cases of the review: the platform's store, backend servers,
 * clients and the platform that starts nodes. All of them are threads of one
 * process on loopback addresses; the nodes are the project's own processes.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_ADDRESS_SIZE 24

/* Exit codes of a case. */
enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_COULD_NOT_RUN = 2 };

/* Milliseconds since the start of the case. */
int64_t rig_ms(void);
void rig_sleep_ms(int64_t ms);
/* Sleeps until a time of rig_ms(). */
void rig_sleep_until(int64_t ms);
/* Writes a line with the time to record.txt. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends the case with RIG_COULD_NOT_RUN. */
void rig_fail(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));
/* False with TROUBLE=0 in the environment. */
bool rig_trouble(void);
void rig_thread(void *(*run)(void *), void *data);
/* The n-th loopback address of this case. */
const char *rig_ip(int n);
int rig_connect(const char *ip, uint16_t port, int timeout_ms);

/* The store. All listeners serve the same items. */
struct rig_listener {
	char ip[RIG_ADDRESS_SIZE];
	uint16_t port;
	int fd;
	/* Connections are closed at once, as by a store that is down. */
	bool down;
	int64_t reads;
};

struct rig_listener *rig_store_listen(const char *ip);
void rig_store_down(struct rig_listener *l, bool down);
/* Return: time of the acknowledgement. */
int64_t rig_store_put(const char *key, const char *value);
int64_t rig_store_delete(const char *key);

/* A backend server. */
struct rig_backend {
	char id[64];
	char service[64];
	char ip[RIG_ADDRESS_SIZE];
	uint16_t port;
	int work_ms;
	int fd;
	int64_t born_ms;
	bool stopped;
	pthread_mutex_t lock;
	/* Requests that it ran, and those that it runs now. */
	int runs;
	int running;
	/* Arrivals later than this time are counted, INT64_MAX for none. */
	int64_t late_after_ms;
	int late_arrivals;
	int64_t last_late_ms;
	/* Called for each request that it runs. */
	void (*on_run)(struct rig_backend *b, const char *id, const char *head);
	/*
	 * Of 1,000 answers, those after which it sends additional bytes, late:
	 * when it reads the next request on the connection. Without @extra it
	 * sends the same answer again.
	 */
	int extra_permille;
	const char *extra;
	int extras;
};

struct rig_backend *rig_backend_start(const char *ip, const char *id,
				      const char *service, int work_ms);
/* Writes its entry in the store. Return: time of the acknowledgement. */
int64_t rig_backend_register(struct rig_backend *b, const char *state);
/* Ends it: its port is closed, and connections are reset. */
void rig_backend_stop(struct rig_backend *b);

/* A node. */
struct rig_node {
	char ip[RIG_ADDRESS_SIZE];
	uint16_t outbound, ready, first_port;
	char service[64];
	struct rig_backend *backend;
	struct rig_listener *store;
	char settings_path[256];
	char log_path[256];
	pid_t pid;
	int memory_mb;
	/* Set by rig_node_watch_memory(). */
	int64_t peak_kb;
	bool killed_for_memory;
};

/* @first_port: 0 for the one that all nodes share */
struct rig_node *rig_node_new(const char *ip, const char *service,
			      struct rig_backend *b, struct rig_listener *store,
			      uint16_t first_port);
void rig_node_write_settings(struct rig_node *n);
void rig_node_start(struct rig_node *n);
/* Waits for status 200 of the ready address. */
bool rig_node_wait_ready(struct rig_node *n, int timeout_ms);
void rig_node_signal(struct rig_node *n, int signal_number);
/* Ends the process if it uses more memory than its settings allow. */
void rig_node_watch_memory(struct rig_node *n);

/* The operator's configuration. @tenants: JSON list or NULL */
void rig_config(int version, const char *routes, const char *services,
		const char *tenants);

/* One request of a client. */
struct rig_request {
	const char *method, *host, *path, *key;
	char id[40];
	int deadline_ms;
	const char *body;
	size_t body_size;
};

struct rig_answer {
	/* 0: the connection ended without a complete answer. */
	int status;
	bool sealed;
	char body[256];
	bool sent;
	bool keep;
	char head[4096];
};

void rig_new_id(char *id);
/* Sends a request on a connection and reads the answer. */
void rig_exchange(int fd, const struct rig_request *r, struct rig_answer *a);
/* The same on a new connection. */
void rig_exchange_new(struct rig_node *n, const struct rig_request *r,
		      struct rig_answer *a);

/* A link that passes connections on from one address to another one. */
struct rig_link;
struct rig_link *rig_link_open(const char *from_ip, uint16_t from_port,
			       const char *to_ip, uint16_t to_port);
/* While a link is cut, no byte passes and new connections stay silent. */
void rig_link_cut(struct rig_link *l, bool cut);

/* Ends all processes and exits. */
void rig_end(int code) __attribute__((noreturn));
/* First call of a case. */
void rig_begin(void);

#endif
