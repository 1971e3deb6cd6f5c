"""The MySQL front end of the edge, around the state machines without I/O of `juniperreel.mysql`.

frontend             accepts connections; graceful shutdown
connection           one client's socket: login, reading ahead, writing
commands             one method for each command of the protocol
execution            what a statement does: requests, transactions, its answer
request_submission   a statement as a request to the proxy
open_transaction     statements for the endpoint that holds the transaction
transaction_scope    the transaction's state, and the plan for each statement
client_session       what a session keeps: causal token, variables, user
prepared             prepared statements
classification       which class and tenant a statement has
result_writer        results, streamed no faster than the client reads
conversion           values and results of endpoints that speak gRPC
errors               the one table of error codes
"""
