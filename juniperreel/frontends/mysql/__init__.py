"""The MySQL front end of the edge, which does the I/O for the protocol state machines of `juniperreel.mysql`.

frontend             accepts connections; graceful shutdown
connection           one client's socket: login, pipelined commands, writing
commands             one method for each command of the protocol
execution            executes statements and writes their responses
request_submission   submits a statement to the proxy as a request
open_transaction     runs statements at the endpoint that holds the transaction
transaction_scope    the transaction's state, and the plan for each statement
client_session       the state of a session: causal token, variables, user
prepared             prepared statements
classification       assigns statements to request classes and tenants
result_writer        writes results, at the rate at which the client reads
conversion           values and results of endpoints that speak gRPC
errors               error codes and responses
"""
